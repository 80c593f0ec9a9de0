// Package fake is a small stand-in for a model engine, for prefill or decode.
// Tests and trial runs use it. Its faults are in package fault, its memory in
// kvmem, its text in prose; the stand-in for a plain service is shop.
//
// A model engine answers with text that follows from the text before it
// alone: the same prompt gives the same answer on every engine, and the answer
// to a prompt with half of the answer behind it is the other half. Tests check
// answers token by token with [Answer].
//
// # Usage
//
//	e := &fake.Engine{Name: "d1", Role: core.Decode}
//	go e.Run(ctx)
//	http.Serve(ln, e.Handler())
package fake
