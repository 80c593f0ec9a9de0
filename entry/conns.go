package entry

import (
	"net"
	"net/http"
)

// connState takes note of when a caller's connection is idle. One that was
// accepted and has sent nothing yet counts as idle.
func (e *Entry) connState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		e.flights.conns.Set(c, e.Clock.Now())
	default:
		e.flights.conns.Delete(c)
	}
	e.flights.ring()
}
