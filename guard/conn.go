package guard

import (
	"bytes"
	"container/list"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/sock"
	"lacewinghook.example/lacewinghook/spool"
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

// Estimated memory of a head. A line of a few bytes took about 85 bytes while the head
// arrived, and 120 to 170 in flight, where it is copied once, with what the garbage
// collector had not freed yet (400 heads of 16,000 bytes each).
const (
	bytesPerLine = 256
	costPerByte  = 4
	// allowance is the part of a head's memory that isn't charged. It is above that of a
	// head of 20 lines and 800 bytes, so that ordinary heads need no room.
	allowance = 8 << 10
)

// readAhead is the size of the buffer in which net/http reads heads and short parts of
// bodies. As much of the next request may be in it.
const readAhead = 4 << 10

// Conn is a connection of a caller.
type Conn struct {
	*sock.Conn
	guard *Guard
	// place is that in guard.between, nil if a request is served. It is guarded by the lock
	// of guard.
	place *list.Element

	mu     sync.Mutex
	phase  phase
	head   head
	last   head // the bytes that net/http may still have in its buffer
	held   spool.Buffer
	charge int64
	done   bool // Close was called
	// kept is set if a request has ended on the connection, and deadlines is the number of
	// deadlines that were set since.
	kept      bool
	deadlines int
	// evicted is set if the head must give way. It is set without mu, which its owner may
	// hold while it waits for the lock of the pool.
	evicted atomic.Bool
	closed  sync.Once
}

// head counts what has arrived of the head of a request.
type head struct {
	bytes, lines int64
	// line is the number of bytes of the current line, but for its end, and first is the
	// first of them.
	line  int64
	first byte
	ended bool
}

// add counts the bytes of p up to the end of the head.
func (h *head) add(p []byte) {
	for len(p) > 0 && !h.ended {
		i := bytes.IndexByte(p, '\n')
		part := p
		if i >= 0 {
			part = p[:i]
		}
		if h.line == 0 && len(part) > 0 {
			h.first = part[0]
		}
		h.line += int64(len(part))
		h.bytes += int64(len(part))
		if i < 0 {
			return
		}
		h.bytes++
		p = p[i+1:]
		// net/http ignores or rejects empty lines before a request: they don't end it.
		if empty := h.line == 0 || h.line == 1 && h.first == '\r'; !empty {
			h.lines++
		} else if h.lines > 0 {
			h.ended = true
		}
		h.line = 0
	}
}

// cost estimates the memory of the head.
func (h *head) cost() int64 { return h.lines*bytesPerLine + h.bytes*costPerByte }

// errRefused is the error of a read of a connection that was cut. net/http closes the
// connection after an error of a read without an answer of its own.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("guard: refused")}

// Read implements [net.Conn]. The time for a head counts from its first byte.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remember(p, n)
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
		c.guard.move(c, receiving)
	}
}

// count adds p to the head that arrives. It returns false if the request must be refused.
func (c *Conn) count(p []byte) (Reason, bool) {
	c.head.add(p)
	if limit := c.guard.Limits().Headers; limit > 0 && c.head.bytes > limit+readAhead {
		return HeadTooLarge, false
	}
	if !c.reserve() || c.head.ended && c.held.Pin() != nil {
		return HeadsFull, false
	}
	return "", true
}

// reserve charges what the head costs. It returns false if there is no room or it must give
// way.
func (c *Conn) reserve() bool {
	if c.done {
		return true
	}
	if more := c.head.cost() - allowance - c.charge; more > 0 {
		if c.held.Reserve(more) != nil {
			return false
		}
		c.charge += more
	}
	return !c.evicted.Load()
}

// release returns what is charged for a head.
func (c *Conn) release() {
	c.held.Reset()
	c.head, c.charge = head{}, 0
	c.evicted.Store(false)
}

// evict makes a head that arrives give way.
func (c *Conn) evict() {
	c.evicted.Store(true)
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
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
	c.guard.cut(c.Conn, r, c.head.bytes, c.head.lines)
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
	c.closed.Do(func() {
		if c.guard.OnClose != nil {
			c.guard.OnClose(c.TCPConn)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.done = true
		c.guard.leave(c)
		c.release()
	})
	return c.Conn.Close()
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
		if !c.reserve() {
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
	err := c.Conn.SetReadDeadline(t)
	if c.evicted.Load() {
		err = c.Conn.SetReadDeadline(time.Unix(1, 0))
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
		c.guard.move(c, serving)
		if c.held.Pin() != nil {
			c.evict()
		}
	case http.StateIdle:
		c.phase = waiting
		c.kept, c.deadlines = true, 0
		c.release()
		c.guard.move(c, waiting)
	}
}
