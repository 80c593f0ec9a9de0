package hconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/sock"
)

// Timeouts of a connection.
const (
	// dialTimeout allows for a few round trips between data centres. The kernel sends
	// a lost SYN again after 1 s, when another replica has long been tried.
	dialTimeout clock.Millis = 600
	// DefaultKeepAlive is how long an idle connection stays reusable if the
	// server's Keep-Alive header has no timeout.
	DefaultKeepAlive = 5 * clock.Second
	// keepAliveMargin is subtracted from the server's timeout, so that the
	// connection isn't reused just when the server closes it.
	keepAliveMargin = 1 * clock.Second
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4 << 10

// maxHeadBytes limits the head of a response. A server in trouble may send bytes
// without end.
const maxHeadBytes = 32 << 10

// errHeadTooLong is the error of a head of more than maxHeadBytes.
var errHeadTooLong = codes.New(codes.UpstreamEndless, "the head of the response exceeds the size limit")

// headLimiter limits how much is read from a connection while a head is read.
type headLimiter struct {
	net.Conn
	limited bool
	left    int
}

// Read implements [io.Reader].
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Conn.Read(p)
	}
	if l.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := l.Conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// Conn is a connection to a server.
type Conn struct {
	net.Conn
	// limit is the source of read.
	limit *headLimiter
	read  *bufio.Reader
	// reusableUntil is the instant from which an idle connection isn't reused,
	// because the server may close it.
	reusableUntil clock.Millis
	// Used is set once a request has been sent.
	Used bool
	// Refused is set once a call without a request ID has failed. If its response is
	// sent again, it could be taken for that to a request, so that the connection is
	// reused for such calls only.
	Refused bool
	// carried holds the hashes of the IDs of the requests that were sent, and of those
	// that responses granted. A response sent twice can't be told apart from the
	// response to a second request with the same ID.
	carried []uint64
}

// maxCarried is the maximum number of IDs to remember. A connection that has carried
// as many isn't reused.
const maxCarried = 512

// HasCarried reports whether the connection has carried this ID. It is false for an
// empty one, and may be true for another ID with the same hash.
func (c *Conn) HasCarried(id string) bool {
	return id != "" && slices.Contains(c.carried, xxhash.Sum64String(id))
}

// accepts reports whether a request with this ID, which may be empty, can be sent on
// the connection, so that its response can be told apart from earlier ones.
func (c *Conn) accepts(id string) bool {
	return id == "" || !c.Refused && !c.HasCarried(id)
}

// Carry records that the connection carries this ID, which is empty for a request that
// has none.
func (c *Conn) Carry(id string) {
	c.Used = true
	if id != "" {
		c.carried = append(c.carried, xxhash.Sum64String(id))
	}
}

// Dial opens a connection whose socket options detect an unresponsive peer.
func Dial(ctx context.Context, addr string) (*Conn, error) {
	c, err := sock.Dialer(dialTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	limit := &headLimiter{Conn: c}
	return &Conn{Conn: c, limit: limit, read: bufio.NewReaderSize(limit, readBufferBytes)}, nil
}

// Bounds of the statuses of final responses. Those from minStatus on, but lower, are of
// interim ones.
const (
	minStatus      = 100
	maxFinalStatus = 599
)

// ReadResponse reads the head of a response to a request with the given method. It may be
// an interim one. A status outside 100 to 599 is an error.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	c.limit.limited, c.limit.left = true, maxHeadBytes
	r, err := http.ReadResponse(c.read, &http.Request{Method: method})
	c.limit.limited = false
	if err != nil && c.limit.left == 0 {
		// A line that was cut at the limit may look malformed.
		err = errHeadTooLong
	}
	if err == nil && (r.StatusCode < minStatus || r.StatusCode > maxFinalStatus) {
		return nil, errors.Errorf("status %03d is none of a response", r.StatusCode)
	}
	return r, err
}

// reusable reports whether an idle connection is still open and has no unread
// data, which would be mistaken for the next response. It peeks at the socket
// without blocking: EAGAIN means open and empty.
func (c *Conn) reusable() bool {
	if c.read.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
		return true
	})
	return err == nil && empty
}

// Abort closes the connection and drops what the server hasn't received. After [Conn.Close]
// the kernel goes on sending it, so that a request that was given up may run seconds later.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// An error means that the connection is closed.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// CloseWhenDone aborts the connection once ctx is done. The returned function
// cancels this and reports whether the connection has been left open.
func (c *Conn) CloseWhenDone(ctx context.Context) (cancel func() bool) {
	return context.AfterFunc(ctx, c.Abort)
}

// CloseAtDeadline aborts the connection at the deadline of ctx, if it has one, or once
// [core.Ended] is. The returned function cancels this and reports whether the connection
// has been left open.
func (c *Conn) CloseAtDeadline(ctx context.Context) (cancel func() bool) {
	stop := context.AfterFunc(core.Ended(ctx), c.Abort)
	deadline, ok := ctx.Deadline()
	if !ok {
		return stop
	}
	timer := time.AfterFunc(time.Until(deadline), c.Abort)
	return func() bool { return timer.Stop() && stop() }
}

// KeepAliveTime returns how long a connection with this Keep-Alive header may
// stay idle and still be reused. A result of 0 or less forbids reuse.
func KeepAliveTime(keepAlive string) clock.Millis {
	for part := range strings.SplitSeq(keepAlive, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 {
			return 0
		}
		return clock.Millis(n)*clock.Second - keepAliveMargin
	}
	return DefaultKeepAlive
}
