package guard

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
)

// phase is what a connection of a caller is used for.
type phase int

const (
	// serving means that the head of a request has arrived.
	serving phase = iota
	// waiting means that nothing of the next request has arrived, and receiving that a
	// part of its head has.
	waiting
	receiving
)

// readAhead is the size of the buffer in which net/http reads heads and short parts of
// bodies. As much of the next request may be in it.
const readAhead = 4 << 10

// Conn is a connection on which HTTP requests arrive. Conn is what net/http reads and
// writes: the TLS connection, if the listener has TLS.
type Conn struct {
	net.Conn
	*admitted
	// secure is the TLS connection, nil without TLS, and sealed the number of bytes that
	// arrived on it since the last part of a request was decrypted.
	secure *tls.Conn
	sealed int64
	opened bool // the TLS handshake was begun

	phase phase
	head  head
	last  head // the bytes that net/http may still have in its buffer
	// kept is set if a request has ended on the connection, and deadlines is the number of
	// deadlines that were set since.
	kept      bool
	deadlines int
}

// errRefused is the error of a read of a connection that was cut. net/http closes the
// connection after an error of a read without an answer of its own.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("guard: refused")}

// Read implements [net.Conn]. The time for a head counts from its first byte.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.open(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remember(p, n)
	if n > 0 {
		c.sealed = 0
	}
	if n > 0 && c.phase == waiting {
		c.receive()
		// An error means that the connection is closed, which the next read will report.
		_ = c.setReadDeadline(c.deadline())
	}
	if c.phase != receiving {
		return n, err
	}
	if reason, ok := c.count(p[:n]); !ok {
		c.refuse(reason)
		return 0, errRefused
	}
	return n, err
}

// remember counts what may be in the buffer of net/http. It reads more than that only into
// the buffer of a body, and single bytes to see whether the caller leaves.
func (c *Conn) remember(p []byte, n int) {
	if len(p) > 1 {
		c.last = head{}
	}
	if len(p) <= readAhead {
		c.last.bytes += int64(n)
		c.last.lines += int64(bytes.Count(p[:n], []byte{'\n'}))
	}
}

// receive notes that a head has begun to arrive.
func (c *Conn) receive() {
	c.phase = receiving
	if !c.done {
		c.guard.move(c.admitted, receiving)
	}
}

// count adds p to the head that arrives. It returns false if the request must be refused.
func (c *Conn) count(p []byte) (Reason, bool) {
	c.head.add(p)
	if limit := c.guard.Limits().Headers; limit > 0 && c.head.bytes > limit+readAhead {
		return HeadTooLarge, false
	}
	if !c.reserve(c.cost()) || c.head.ended && c.held.Pin() != nil {
		return HeadsFull, false
	}
	return "", true
}

// cost estimates the memory of what has arrived of the head.
func (c *Conn) cost() int64 { return c.head.cost() + c.sealed*costPerByte }

// endHead returns what is charged for a head.
func (c *Conn) endHead() {
	c.release()
	c.head, c.sealed = head{}, 0
}

// Times of a refusal.
const (
	// refusalTimeout bounds the write of a refusal, which has room in the kernel unless the
	// caller hasn't read its last answer.
	refusalTimeout = 100 * time.Millisecond
	// A caller whose head finds no room retries after refusedRetryAfter plus a random time
	// below refusedJitter, so that callers refused together don't return together.
	refusedRetryAfter clock.Millis = 500
	refusedJitter     clock.Millis = 1000
)

// refuse answers the request that arrives. It has not run, since its head is incomplete or
// was not handed over.
func (c *Conn) refuse(r Reason) {
	c.guard.cut(c.raw, r, c.head.bytes, c.head.lines)
	info := r.code().Info()
	text := r.code().String() + "\n"
	retry := ""
	if info.Status == http.StatusServiceUnavailable {
		after := refusedRetryAfter + rand.N(refusedJitter)
		retry = fmt.Sprintf("Retry-After: %.3f\r\n", float64(after)/float64(clock.Second))
	}
	// An error means that the caller has left or doesn't read, which is its loss.
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		info.Status, http.StatusText(info.Status), retry, len(text), text)
}

// Close implements [net.Conn].
func (c *Conn) Close() error {
	c.leave()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, for which net/http asks before it closes a connection
// whose peer still sends.
func (c *Conn) CloseWrite() error {
	if c.secure != nil {
		return c.secure.CloseWrite()
	}
	return c.raw.CloseWrite()
}

// SetReadDeadline implements [net.Conn].
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == waiting && c.kept {
		c.deadlines++
	}
	if c.phase == waiting && c.deadlines > 1 {
		// net/http sets one deadline when it begins to wait for the next request, and one
		// when it has the begin of it, which was in its buffer if no read has told it.
		c.receive()
		c.head.bytes, c.head.lines = c.last.bytes, c.last.lines
		if !c.reserve(c.cost()) {
			// The next read, or the handler's, reports it.
			c.evict()
			return nil
		}
	}
	if c.phase != serving && t.After(time.Now()) {
		t = c.deadline()
	}
	return c.setReadDeadline(t)
}

// setReadDeadline sets the deadline, which is over if the head must give way.
func (c *Conn) setReadDeadline(t time.Time) error {
	err := c.raw.SetReadDeadline(t)
	if c.evicted.Load() {
		err = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// Default and greatest times of a connection. They are longer than the defaults if the
// limits in force allow it.
const (
	// HeadTimeout bounds the time to read the head of a request.
	HeadTimeout = 5 * clock.Second
	// IdleTimeout is how long a connection may stay unused.
	IdleTimeout = 90 * clock.Second
	// maxTimeout bounds the time limits of a manifest.
	maxTimeout = 60 * clock.Minute
)

// deadline returns the time by which the first byte, or the rest, of a head must arrive.
func (c *Conn) deadline() time.Time {
	limits := c.guard.Limits()
	d := max(limits.Idle, IdleTimeout)
	if c.phase == receiving {
		d = max(limits.Head, HeadTimeout)
	}
	return time.Now().Add(min(d, maxTimeout).Duration())
}

// SetState follows the state of a connection; it is a callback for
// [http.Server.ConnState].
func SetState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return
	}
	switch state {
	case http.StateActive:
		c.phase = serving
		c.guard.move(c.admitted, serving)
		if c.held.Pin() != nil {
			c.evict()
		}
	case http.StateIdle:
		c.phase = waiting
		c.kept, c.deadlines = true, 0
		c.endHead()
		c.guard.move(c.admitted, waiting)
	}
}
