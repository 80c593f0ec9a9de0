package sock

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/notify"
)

// Closer closes connections such that their peers receive what was sent on them. The kernel
// resets a connection that is closed with unread bytes, or on which bytes arrive after
// that, and drops what the peer hasn't received. The zero value is ready to use.
type Closer struct {
	open    atomic.Int64
	changed notify.Signal
}

// Listener returns a listener whose connections are closed by c.
func (c *Closer) Listener(ln net.Listener) net.Listener { return listener{ln, c} }

// Len returns the number of connections that were closed and whose peers haven't received
// everything.
func (c *Closer) Len() int { return int(c.open.Load()) }

// Wait waits until no connection is left that was closed and whose peer hasn't received
// everything, or until ctx ends. It may be called by one goroutine at a time.
func (c *Closer) Wait(ctx context.Context) {
	for c.open.Load() > 0 {
		select {
		case <-c.changed.C():
		case <-ctx.Done():
			return
		}
	}
}

// listener is the result of [Closer.Listener].
type listener struct {
	net.Listener
	closer *Closer
}

// Accept implements [net.Listener].
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &Conn{TCPConn: tcp, closer: l.closer}, nil
	}
	return conn, nil
}

// Conn is a connection accepted by a listener of a [Closer].
type Conn struct {
	*net.TCPConn
	closer *Closer

	mu sync.Mutex
	// reset is set if Close drops what the peer hasn't received.
	reset, closed bool
}

// Read implements [net.Conn].
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	return n, err
}

// PeerClosed reports whether this host has received the end of what the peer sends.
func (c *Conn) PeerClosed() bool { return PeerClosed(c.TCPConn) }

// SinceReceived returns the time since this host last received data on the connection, or
// zero if the kernel doesn't tell.
func (c *Conn) SinceReceived() clock.Millis { return SinceReceived(c.TCPConn) }

// SetReadDeadline implements [net.Conn].
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements [net.Conn].
func (c *Conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.TCPConn.SetDeadline(t)
}

// SetLinger is that of [net.TCPConn]. With a value of zero, Close resets the connection.
func (c *Conn) SetLinger(sec int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.reset = sec == 0
	return c.TCPConn.SetLinger(sec)
}

// Close implements [net.Conn]. It doesn't block. If the peer hasn't received everything, or
// bytes of it are unread, only the sending side is closed at once.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	if c.reset {
		return c.TCPConn.Close()
	}
	unread, unsent, err := Pending(c.TCPConn)
	if err != nil || unread == 0 && unsent == 0 || c.CloseWrite() != nil {
		return c.TCPConn.Close()
	}
	c.closer.open.Add(1)
	go c.finish()
	return nil
}

// Reset closes a connection and drops what its peer hasn't received, also one that would
// otherwise stay open until its peer has received everything.
func Reset(c net.Conn) {
	// Errors mean that the connection is closed.
	if l, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// isClosed reports whether Close was called.
func (c *Conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Parameters of [Conn.finish].
const (
	// maxFinishTime is how long a closed connection remains open at most.
	maxFinishTime = 5 * clock.Second
	// minCheckInterval is the time after which finish first checks what the peer has
	// received. The interval doubles with each check.
	minCheckInterval clock.Millis = 5
	// maxDiscardBytes is how much is read and discarded at most, in parts of
	// discardBufferBytes.
	maxDiscardBytes    = 8 << 20
	discardBufferBytes = 4 << 10
)

// finish discards what arrives until the peer has received everything or has closed its
// sending side, and then closes the connection.
func (c *Conn) finish() {
	defer func() {
		// The error is of no interest: nothing is sent or read any more.
		_ = c.TCPConn.Close()
		c.closer.open.Add(-1)
		c.closer.changed.Send()
	}()
	buf := make([]byte, discardBufferBytes)
	discarded := 0
	end := time.Now().Add(maxFinishTime.Duration())
	for interval := minCheckInterval; time.Now().Before(end); interval *= 2 {
		next := time.Now().Add(interval.Duration())
		if next.After(end) {
			next = end
		}
		// An error means that the connection has failed, which the read reports.
		_ = c.TCPConn.SetReadDeadline(next)
		var err error
		for err == nil && discarded < maxDiscardBytes {
			var n int
			n, err = c.TCPConn.Read(buf)
			discarded += n
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if _, unsent, err := Pending(c.TCPConn); err != nil || unsent == 0 {
			return
		}
	}
}
