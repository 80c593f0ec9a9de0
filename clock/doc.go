// Package clock gives the program its one notion of time: whole milliseconds.
//
// Every deadline, lease and lifetime in the program is a [Millis]. Instants
// are read from the machine's monotonic clock, so that a step of the wall
// clock never extends a lease. Instants of two processes can't be compared;
// what crosses a process boundary is a duration, "milliseconds left".
//
// # Usage
//
// The zero [Clock] reads the machine's clock:
//
//	var c clock.Clock
//	deadline := c.Now() + 500
//
// Tests hand in a [Manual] clock and move it by hand:
//
//	m := &clock.Manual{}
//	c := clock.Clock{Manual: m}
//	m.Advance(500)
package clock
