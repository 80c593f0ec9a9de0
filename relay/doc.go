// Package relay forwards requests whose body the router doesn't parse: calls
// of plain services, and completions whose prompt only the caller and the
// engines can read. It selects the upstreams, sends the request, decides
// whether it may be retried, and streams the answer back. The protocols spoken
// with callers and upstreams are implemented by [Sink] and [Upstreams].
//
// A request that must not run twice is retried only if the upstream confirms
// that it did not run the request, or if no byte of it was written. A resumable
// stream continues at another upstream after its last complete event.
//
// # Usage
//
//	r := &relay.Relay{Upstreams: client, Pool: table, Budget: budget}
//	err := r.Run(ctx, request, sink)
//
// The error of [Relay.Run] is a [codes.Error]. If the sink has already received
// the head of an answer, that answer is incomplete.
package relay
