// Package lorem generates the answers of fake model engines. Each token is a
// function of the preceding text alone: the same prompt gets the same answer
// from every engine, and a prompt extended by the first half of its answer
// yields the second half.
//
// # Usage
//
//	want := lorem.Answer(prompt, 20)
package lorem
