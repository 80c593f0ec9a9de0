// Package fake holds small stand-ins for the upstreams: a model engine, for
// prefill or decode, and a plain service. Tests and trial runs use them.
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
