// Package flow runs a request from admission to its last token: it selects the
// upstreams, reserves decode memory, and drives prefill, KV transfer and decode,
// with retries and hedging. It makes the decisions and calls the engines through
// interfaces; packages front and engine encode the messages to callers and
// upstreams.
//
// # Usage
//
//	f := &flow.Flow{Engines: &engine.Client{}, Placer: scheduler, Cancels: cancels}
//	err := f.Run(ctx, request, sink)
//
// The error of [Flow.Run] is a [codes.Error]. If it is nil, the sink has received
// the whole answer, including the end marker.
package flow
