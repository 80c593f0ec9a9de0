// Package relay is the life of a request that is passed on unread: a call of
// a plain service or a completion whose prompt only its caller and the engines
// know. It chooses the upstreams, sends, decides what may be sent again, and
// forwards the answer. How callers and upstreams are spoken to is the matter of
// the packages that implement [Upstreams] and [Sink].
//
// A request that may not run twice is sent again only after an upstream has
// stated that it did not run it, or if no byte of it was written. A stream
// that may be resumed goes on at another upstream after its last whole event.
//
// # Usage
//
//	f := &relay.Relay{Upstreams: client, Pool: table, Budget: budget}
//	err := f.Run(ctx, request, sink)
//
// The error of [Relay.Run] is a [codes.Error]. If the sink has been given the
// head of an answer by then, what it was given is not the whole answer.
package relay
