// Package flight knows the requests in flight and the connections of callers,
// so that a stop can wait for both.
//
// # Usage
//
//	var b flight.Tracker
//	srv := &http.Server{Handler: b.Count(handler, leaving), ConnState: b.ConnState}
//	b.Quiet(ctx, grace)
package flight
