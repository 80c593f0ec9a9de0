// Package flow is the life of a request: it is admitted, gets its upstreams
// and its decode memory, and goes through prefill, transfer and decode to its
// end. It decides and it calls; how callers and upstreams are spoken to is
// the matter of front and engine.
//
// # Usage
//
//	f := &flow.Flow{Engines: &engine.Client{}, Placer: desk}
//	err := f.Run(ctx, request, sink)
//
// The error of [Flow.Run] is a [codes.Error]. If it is nil, the sink has got
// the whole answer, its end marker last.
package flow
