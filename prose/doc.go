// Package prose makes the text that stand-in engines answer with. It follows
// from the text before it alone: the same prompt gives the same answer on every
// engine, and the answer to a prompt with half of the answer behind it is the
// other half.
//
// # Usage
//
//	want := prose.Answer(prompt, 20)
package prose
