package flight

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
func TestQuietWaitsForARequestThatHasBegunToArrive(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	b := &Tracker{Clock: clock.Clock{Manual: m}}
	c, other := net.Pipe()
	defer c.Close()
	defer other.Close()
	const grace = 100
	b.ConnState(c, http.StateActive)
	m.Advance(10 * grace)
	done := make(chan struct{})
	go func() {
		b.Quiet(context.Background(), grace)
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
	until(func() bool { return len(b.changed.C()) == 0 })
	is.True(!ended())
	b.ConnState(c, http.StateIdle)
	// From now on there is an instant to wait for.
	until(func() bool { return m.Waiting() == 1 })
	is.True(!ended())
	m.Advance(grace)
	<-done
}
