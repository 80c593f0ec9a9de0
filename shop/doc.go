// Package svcsim simulates a plain service, which the router only forwards to.
//
// # Usage
//
//	s := &svcsim.Service{Name: "card-desk-1"}
//	http.Serve(ln, s.Handler())
//	runs := s.Runs()    // executions per idempotency key
package shop
