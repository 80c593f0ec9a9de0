package edge

import (
	"net"
	"net/http"
	"sync"
	"time"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/sock"
)

// callerListener accepts the connections of callers and applies the time limits of the
// current manifest to them.
type callerListener struct {
	net.Listener
	limits func() core.InputLimits
	// onClose is called before a connection is closed. It must not block.
	onClose func(*net.TCPConn)
}

// Accept implements [net.Listener].
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn, ok := c.(*sock.Conn)
	if !ok {
		return c, nil
	}
	return &callerConn{Conn: conn, limits: l.limits, onClose: l.onClose, phase: waiting}, nil
}

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

// callerConn replaces the deadlines that net/http sets while it waits for a request: they
// are constant, and a new connection has the time for a head to send its first byte.
type callerConn struct {
	*sock.Conn
	limits  func() core.InputLimits
	onClose func(*net.TCPConn)

	mu     sync.Mutex
	phase  phase
	closed sync.Once
}

// Read implements [net.Conn]. The time for a head counts from its first byte.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.phase == waiting {
		c.phase = receiving
		// An error means that the connection is closed, which the next read will report.
		_ = c.Conn.SetReadDeadline(c.deadline())
	}
	return n, err
}

// Close implements [net.Conn].
func (c *callerConn) Close() error {
	c.closed.Do(func() { c.onClose(c.TCPConn) })
	return c.Conn.Close()
}

// SetReadDeadline implements [net.Conn].
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != serving && t.After(time.Now()) {
		t = c.deadline()
	}
	return c.Conn.SetReadDeadline(t)
}

// deadline returns the time by which the first byte, or the rest, of a head must arrive.
func (c *callerConn) deadline() time.Time {
	limits := c.limits()
	d := max(limits.Idle, idleTimeout)
	if c.phase == receiving {
		d = max(limits.Head, headerTimeout)
	}
	return time.Now().Add(min(d, maxCallerTimeout).Duration())
}

// maxCallerTimeout bounds the time limits of a manifest.
const maxCallerTimeout = 60 * clock.Minute

// setPhase follows the state of a connection.
func setPhase(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.phase = serving
	case http.StateIdle:
		c.phase = waiting
	}
}
