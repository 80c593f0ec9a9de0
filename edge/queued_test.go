package edge_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// lateListener accepts nothing while late is set.
type lateListener struct {
	net.Listener
	late *atomic.Bool
}

func (l lateListener) Accept() (net.Conn, error) {
	for l.late.Load() {
		time.Sleep(time.Millisecond)
	}
	return l.Listener.Accept()
}

// TestStopAcceptsQueuedConnections guards against a stop that resets the connections that
// wait to be accepted. After a machine stood still, the time to close the listener has come
// before any of them was accepted. Found by the soak, seeds 107 and 115.
func TestStopAcceptsQueuedConnections(t *testing.T) {
	is := is.New(t)
	// linger is the time of the stop until the listener is closed, and late how much
	// later than that the queued connections are accepted.
	const (
		linger = 1700 * time.Millisecond
		late   = 15 * time.Millisecond
	)
	s := newSite(t)
	var stalled atomic.Bool
	s.wrapCallers = func(ln net.Listener) net.Listener { return lateListener{ln, &stalled} }
	r := s.startReady()
	r.stop()
	begun := time.Now()
	time.Sleep(linger / 2)
	stalled.Store(true)
	// An Accept that has begun before takes one more connection.
	first := r.do(context.Background(), callerRequest{id: "aa01", path: "/safe/1"})
	is.NoErr(first.err)
	r.client.CloseIdleConnections()
	answers := make(chan answer)
	go func() { answers <- r.do(context.Background(), callerRequest{id: "aa02", path: "/safe/2"}) }()
	time.Sleep(time.Until(begun.Add(linger + late)))
	stalled.Store(false)
	a := <-answers
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
}

// startLate starts an entry that, once it is ready, accepts no connection while late is set.
func (s *site) startLate() (r *runningEntry, late *atomic.Bool) {
	s.t.Helper()
	late = new(atomic.Bool)
	s.wrapCallers = func(ln net.Listener) net.Listener { return lateListener{ln, late} }
	r = s.startReady()
	late.Store(true)
	// An Accept that has begun before takes one more connection.
	is.New(s.t).NoErr(r.dial(s.t).Close())
	return r, late
}

// TestQueuedTimeIsLogged checks that the line of a request tells how long it lay in the
// kernel before the entry read it.
func TestQueuedTimeIsLogged(t *testing.T) {
	is := is.New(t)
	const late = 300 * time.Millisecond
	s := newSite(t)
	r, stalled := s.startLate()
	conn := r.dial(t)
	write(t, conn, "queued", "/safe/a")
	time.Sleep(late)
	stalled.Store(false)
	is.Equal(readAnswer(conn).status, http.StatusOK)
	lines := r.logs.FilterMessage("relay: answered").FilterField(zap.String("request", "queued")).All()
	is.Equal(len(lines), 1)
	queued := time.Duration(lines[0].ContextMap()["queued"].(int64)) * time.Millisecond
	is.True(queued >= late-20*time.Millisecond) // the kernel's clock has steps of 4 ms
}

// TestReplicaGetsNoTimeThatCallerLacks guards against a deadline that counts from the reading
// of a request, which had lain in the kernel.
func TestReplicaGetsNoTimeThatCallerLacks(t *testing.T) {
	is := is.New(t)
	const late = 400 * time.Millisecond
	s := newSite(t)
	r, stalled := s.startLate()
	conn, hopeless := r.dial(t), r.dial(t)
	write(t, conn, "queued", "/once/a")
	writeWithin(t, hopeless, "hopeless", "/once/a", late/2)
	time.Sleep(late)
	stalled.Store(false)
	is.Equal(readAnswer(conn).status, http.StatusOK)
	is.Equal(readAnswer(hopeless).status, http.StatusServiceUnavailable)
	is.Equal(s.arrived("hopeless"), 0)
	var left time.Duration
	for _, d := range s.services {
		for _, h := range d.RequestHeaders() {
			if h.Get("Lacewinghook-Request-Id") == "queued" {
				ms, err := strconv.Atoi(h.Get("Lacewinghook-Deadline-Ms"))
				is.NoErr(err)
				left = time.Duration(ms) * time.Millisecond
			}
		}
	}
	const timeout = time.Second                                   // of the route
	is.True(left > 0 && left <= timeout-late+20*time.Millisecond) // the kernel's clock has steps of 4 ms
}
