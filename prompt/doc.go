// Package prompt decodes and checks the bodies of completions and chat calls.
//
// # Usage
//
//	p, err := prompt.Completion(body)
//	p, err = prompt.Chat(body)
package prompt
