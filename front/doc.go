// Package front is the callers' HTTP interface. It decodes calls, hands them
// on, and encodes answers; it holds no decision.
//
// # Usage
//
//	s := &front.Server{Runner: flow, Plain: plain, Views: book, Members: table}
//	http.Serve(ln, s.Handler())
package front
