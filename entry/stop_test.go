package entry

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// closedListener is a closed listener whose Accept hasn't returned yet.
type closedListener struct {
	net.Listener
	accepting, end chan struct{}
}

// Accept blocks until Close is called.
func (l *closedListener) Accept() (net.Conn, error) {
	close(l.accepting)
	<-l.end
	return nil, net.ErrClosed
}

// Close is the second close of the listener. It makes Accept return.
func (l *closedListener) Close() error {
	close(l.end)
	return net.ErrClosed
}

// TestShutdownAfterTheListenerIsClosed guards against an entry that aborted no
// request but ends with status 1, since the server closes the listener again.
func TestShutdownAfterTheListenerIsClosed(t *testing.T) {
	is := is.New(t)
	b := &closedListener{accepting: make(chan struct{}), end: make(chan struct{})}
	s := &http.Server{}
	served := make(chan error, 1)
	go func() { served <- s.Serve(b) }()
	<-b.accepting
	is.NoErr((&Entry{}).shutdown(t.Context(), []*http.Server{s}))
	<-served
}
