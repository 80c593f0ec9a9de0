package entry

import (
	"net"
	"net/http"

	"lacewinghook.example/lacewinghook/clock"
)

// busy stands for the instant since when a connection is idle, if it is not.
const busy clock.Millis = -1

// connState takes note of when a caller's connection is idle. One that was
// accepted and has sent nothing yet counts as idle; one is busy from the first
// byte of a request on, which is before the request counts as in flight.
func (e *Entry) connState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		e.flights.conns.Set(c, e.Clock.Now())
	case http.StateActive:
		e.flights.conns.Set(c, busy)
	default:
		e.flights.conns.Delete(c)
	}
	e.flights.ring()
}
