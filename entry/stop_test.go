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
	// The connection becomes idle: only now is there an instant to wait for.
	is.Equal(m.Waiting(), 0)
	e.connState(c, http.StateIdle)
	for m.Waiting() == 0 {
		select {
		case <-done:
			t.Fatal("the stop did not wait for the request")
		default:
		}
		_ = clock.Clock{}.Sleep(context.Background(), 1)
	}
	m.Advance(grace)
	<-done
}
