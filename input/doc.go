// Package input reads HTTP request bodies with a limit of size and of time, for
// the callers' and the operators' interface.
//
// # Usage
//
//	input.SetDeadlines(w, r, 10*clock.Second)     // before the handler runs
//	data, err := input.Read(w, r, maxBytes)
//
//	buf := spool.Buffer{Pool: pool, Lasting: true}
//	err := input.ReadTo(w, r, &buf, maxBytes, discards) // within a bound for all requests
//
// The errors are [codes.TooLarge], [codes.SlowInput], [codes.InputFull] and
// [codes.BadRequest].
package input
