// Package input reads the bodies of HTTP calls within bounds of size and time,
// for callers and for operators.
//
// # Usage
//
//	input.Limit(w, r, 10*clock.Second)     // before anything else
//	data, err := input.Read(w, r, maxBytes)
//
// The errors are [codes.TooLarge], [codes.SlowInput] and [codes.BadRequest].
package input
