// Package prompt decodes and validates the bodies of completion and chat
// completion requests.
//
// # Usage
//
//	p, err := prompt.Completion(body)
//	p, err = prompt.Chat(body)
package prompt
