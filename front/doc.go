// Package front implements the HTTP interface for callers. It decodes requests,
// passes them to the components that run them, and encodes the responses. It
// makes no scheduling decisions.
//
// # Usage
//
//	s := &front.Server{Runner: flow, Plain: caller, Documents: active, Members: table, ...}
//	http.Serve(ln, s.Handler())
package front
