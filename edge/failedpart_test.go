package edge_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// failingListener accepts nothing more once fail is closed.
type failingListener struct {
	net.Listener
	fail chan struct{}
}

// errFailed is the error of a failed listener.
var errFailed = errors.New("the listener has failed")

// Accept implements [net.Listener].
func (l failingListener) Accept() (net.Conn, error) {
	conns := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Listener.Accept(); err == nil {
			conns <- c
		}
	}()
	select {
	case c := <-conns:
		return c, nil
	case <-l.fail:
		return nil, errFailed
	}
}

// TestFailedPartCutsNothing guards against an entry that a failure of one of its listeners
// leaves without the list of replicas and deaf to a stop signal, until the platform kills it
// with its requests.
func TestFailedPartCutsNothing(t *testing.T) {
	for name, signal := range map[string]bool{"before a stop": false, "during a stop": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			for _, d := range s.decode {
				d.EventCount, d.EventInterval = 20, 100*time.Millisecond
			}
			fail := make(chan struct{})
			s.wrapPeers = func(ln net.Listener) net.Listener { return failingListener{ln, fail} }
			r := s.startReady()
			if signal {
				r.stop()
				s.until("the entry isn't ready", func() bool { return !r.ready() })
			}
			streamed := make(chan answer, 1)
			go func() { streamed <- r.do(context.Background(), callerRequest{id: "id-1", path: "/verse/a"}) }()
			s.until("the stream runs", func() bool { return s.runs("id-1") == 1 })
			close(fail)
			got := <-streamed
			is.NoErr(got.err)
			is.Equal(got.body, streamBody(20))
			select {
			case err := <-r.done:
				is.True(errors.Is(err, errFailed))
			case <-time.After(testTimeout):
				t.Error("the entry goes on")
			}
			r.done <- nil
		})
	}
}
