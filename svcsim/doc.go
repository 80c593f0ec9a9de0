// Package svcsim simulates a plain service, which is an upstream that isn't an LLM
// engine, for tests and trial runs.
//
// # Usage
//
//	s := &svcsim.Service{Name: "card-desk-1"}
//	http.Serve(ln, s.Handler())
//	runs := s.Runs() // executions per idempotency key
package svcsim
