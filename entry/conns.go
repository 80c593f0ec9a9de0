package entry

import (
	"net"
	"net/http"

	"lacewinghook.example/lacewinghook/clock"
)

// link is a caller's connection. Busy means that a request has begun to
// arrive on it or is being answered; else it has been idle since an instant.
type link struct {
	busy  bool
	since clock.Millis
}

// connState takes note of what a caller's connection does. One that was
// accepted and has sent nothing yet counts as idle.
func (e *Entry) connState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		e.flights.conns.Set(c, link{since: e.Clock.Now()})
	case http.StateActive:
		e.flights.conns.Set(c, link{busy: true})
	default:
		e.flights.conns.Delete(c)
	}
	e.flights.ring()
}
