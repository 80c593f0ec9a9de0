package entry

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
)

// A connection on which a request has begun to arrive keeps the entry from
// ending before the request is counted as in flight.
func TestStopWaitsForARequestThatHasBegunToArrive(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	e := &Entry{Clock: clock.Clock{Manual: m}}
	e.flights.changed = make(chan struct{}, 1)
	c, other := net.Pipe()
	defer c.Close()
	defer other.Close()
	const grace = 100
	e.connState(c, http.StateActive)
	m.Advance(10 * grace)
	done := make(chan struct{})
	go func() {
		e.flights.quiet(context.Background(), e.Clock, grace)
		close(done)
	}()
	ended := func() bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	}
	until := func(cond func() bool) {
		for !ended() && !cond() {
			_ = clock.Clock{}.Sleep(context.Background(), 1)
		}
	}
	// The ring of the connection is taken once the stop has looked at it.
	until(func() bool { return len(e.flights.changed) == 0 })
	is.True(!ended())
	e.connState(c, http.StateIdle)
	// From now on there is an instant to wait for.
	until(func() bool { return m.Waiting() == 1 })
	is.True(!ended())
	m.Advance(grace)
	<-done
}
