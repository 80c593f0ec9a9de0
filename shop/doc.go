// Package shop is a small stand-in for a plain service.
//
// # Usage
//
//	s := &shop.Service{Name: "card-desk-1"}
//	http.Serve(ln, s.Handler())
//	runs := s.Runs()    // the witness of what ran how often
package shop
