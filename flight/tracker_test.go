package flight

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// TestWaitIdleWaitsForAnArrivingRequest checks that a connection on which
// a request is arriving delays the stop. The request is not counted as in flight
// until its handler runs, so the stop could end before it.
func TestWaitIdleWaitsForAnArrivingRequest(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	tracker := &Tracker{Clock: clock.Clock{Manual: m}}
	c, other := net.Pipe()
	defer c.Close()
	defer other.Close()
	const grace = 100
	tracker.ConnState(c, http.StateActive)
	m.Advance(10 * grace)
	done := make(chan struct{})
	go func() {
		tracker.WaitIdle(context.Background(), grace)
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
	// idleStatus has seen the connection once its signal is received.
	until(func() bool { return len(tracker.changed.C()) == 0 })
	is.True(!ended())
	tracker.ConnState(c, http.StateIdle)
	// The connection is idle now, so the tracker waits for the grace to pass.
	until(func() bool { return m.Pending() == 1 })
	is.True(!ended())
	m.Advance(grace)
	<-done
}

// TestClosedTrackerCancelsNewRequests guards against a request that arrives while a stop
// closes the connections and is passed on, although its caller can't get the answer.
func TestClosedTrackerCancelsNewRequests(t *testing.T) {
	is := is.New(t)
	tracker := &Tracker{}
	cause := errors.New("closed")
	request := func(h func(ctx context.Context)) {
		handler := tracker.Track(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { h(r.Context()) }), func() bool { return true })
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	}
	request(func(ctx context.Context) {
		tracker.Close(cause)
		is.NoErr(ctx.Err()) // it was in flight
		tracker.Cancel(cause)
		is.Equal(context.Cause(ctx), cause)
	})
	request(func(ctx context.Context) { is.Equal(context.Cause(ctx), cause) })
}

// TestCloseEndsContextAtOnce guards against a request whose context outlasts the close that
// net/http has reported until another goroutine has run.
func TestCloseEndsContextAtOnce(t *testing.T) {
	is := is.New(t)
	const times = 100
	for range times {
		var tracker Tracker
		parent, closed := context.WithCancel(t.Context())
		h := tracker.Track(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			is.NoErr(r.Context().Err())
			closed()
			is.Equal(r.Context().Err(), context.Canceled)
			is.NoErr(core.Ended(r.Context()).Err())
		}), func() bool { return false })
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(parent, http.MethodGet, "/", nil))
	}
}
