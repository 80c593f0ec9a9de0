// Package flight tracks the requests in flight and the connections of callers, so
// that a graceful stop can wait for both.
//
// # Usage
//
//	var t flight.Tracker
//	srv := &http.Server{Handler: t.Track(handler, stopping), ConnState: t.ConnState, ConnContext: t.ConnContext}
//	t.WaitIdle(ctx, grace)
package flight
