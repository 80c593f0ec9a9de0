// Package clock provides time in whole milliseconds, timers and backoff.
//
// Every deadline, lease and time to live in the program is a [Millis].
// Instants are read from the machine's monotonic clock, so that a step of the
// wall clock never extends a lease. Instants of two processes aren't
// comparable: messages between processes carry the remaining duration instead.
//
// # Usage
//
// The zero [Clock] reads the machine's clock:
//
//	var c clock.Clock
//	deadline := c.Now() + 500
//
// Tests pass a [Manual] clock and advance it:
//
//	m := &clock.Manual{}
//	c := clock.Clock{Manual: m}
//	m.Advance(500)
package clock
