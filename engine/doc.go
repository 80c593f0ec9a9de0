// Package engine is the client of the upstreams: model engines and plain
// services. It is the one package that knows how they are spoken to; its users
// declare the interfaces that they need, and docs/ADAPTERS.md tells how to
// write another one.
//
// Each call carries the request's ID and attempt, and each answer must carry
// them back: an answer of another request or attempt is [codes.WrongAnswer].
//
// # Usage
//
//	c := &engine.Client{}
//	x, err := c.Prefill(ctx, prefill, try)
//	err = c.Decode(ctx, decode, try, x, func(t core.Token) error { ... })
//
// An error with Run [codes.NotRun] is proof that the upstream didn't run the
// call: the connection was refused before a byte was written, or the upstream
// said so.
package engine
