package wire_test

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/member"
	"lacewinghook.example/lacewinghook/wire"
)

// exhaustedListener fails its first connections for want of file descriptors.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int64
}

// Accept implements [net.Listener].
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServerOutlastsExhaustion guards against a server that ends, and an entry that stops,
// because the process had no file descriptor left for a moment.
func TestServerOutlastsExhaustion(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	exhausted := &exhaustedListener{Listener: ln}
	exhausted.failures.Store(3)
	serveCtx, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- (&wire.Server{Handler: namedHandler("moose-jaw-1")}).Serve(serveCtx, exhausted) }()
	c := &wire.Client{}
	defer c.Close()
	h, err := c.Heartbeat(ctx, ln.Addr().String(), member.Heartbeat{})
	is.NoErr(err)
	is.Equal(h.Instance.Name, "moose-jaw-1")
	stop()
	is.NoErr(<-done)
}
