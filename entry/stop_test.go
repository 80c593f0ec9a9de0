package entry

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// busy is a listener that is closed and whose Accept has not returned yet.
type busy struct {
	net.Listener
	accepting, end chan struct{}
}

func (b *busy) Accept() (net.Conn, error) {
	close(b.accepting)
	<-b.end
	return nil, net.ErrClosed
}

// Close is the second one. Accept returns with it.
func (b *busy) Close() error {
	close(b.end)
	return net.ErrClosed
}

// TestShutdownAfterTheListenerIsClosed was red, and an entry that had cut
// nothing ended with status 1, when the server closed the listener again.
func TestShutdownAfterTheListenerIsClosed(t *testing.T) {
	is := is.New(t)
	b := &busy{accepting: make(chan struct{}), end: make(chan struct{})}
	s := &http.Server{}
	served := make(chan error, 1)
	go func() { served <- s.Serve(b) }()
	<-b.accepting
	is.NoErr((&Entry{}).shutdown(t.Context(), []*http.Server{s}))
	<-served
}
