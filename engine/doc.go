// Package engine is the client for upstreams: model engines and plain services.
// No other package knows their protocols. The packages that use it declare the
// interfaces they need; docs/ADAPTERS.md describes how to write another client.
//
// Each call carries the request's ID and attempt, and an engine's response must
// repeat them. A response with another ID or attempt is [codes.WrongAnswer].
//
// # Usage
//
//	c := &engine.Client{}
//	x, err := c.Prefill(ctx, prefill, try)
//	err = c.Decode(ctx, decode, try, x, arrived, func(t core.Token) error { ... })
//
// An error with Run [codes.NotRun] proves that the upstream didn't run the call:
// the connection failed before a byte was written, or the upstream confirmed it.
package engine
