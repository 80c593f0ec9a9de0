package entry

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// busy is a closed listener whose Accept hasn't returned yet.
type busy struct {
	net.Listener
	accepting, end chan struct{}
}

func (b *busy) Accept() (net.Conn, error) {
	close(b.accepting)
	<-b.end
	return nil, net.ErrClosed
}

// Close is the second close of the listener. It makes Accept return.
func (b *busy) Close() error {
	close(b.end)
	return net.ErrClosed
}

// TestShutdownAfterTheListenerIsClosed guards against an entry that aborted no
// request but ends with status 1, since the server closes the listener again.
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
