package guard

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/sock"
	"lacewinghook.example/lacewinghook/spool"
)

// admitted is an admitted connection: its place among those of the listener, and the memory
// that is charged for it, which is none for a [PeerConn].
type admitted struct {
	// raw is the connection below TLS.
	raw   *sock.Conn
	guard *Guard
	// order is the list of guard that holds the connection, nil if it can't give way, place
	// its element, and since the instant at which it was added. They are guarded by the lock
	// of guard.
	order *list.List
	place *list.Element
	since clock.Millis

	mu     sync.Mutex
	held   spool.Buffer
	charge int64
	done   bool // the connection was closed
	// evicted is set if the connection must give way. It is set without mu, which its owner
	// may hold while it waits for the lock of the pool.
	evicted atomic.Bool
	closed  sync.Once
}

// PeerClosed reports whether this host has received the end of what the peer sends.
func (m *admitted) PeerClosed() bool { return m.raw.PeerClosed() }

// SinceReceived returns the time since this host last received data of the peer, or zero if
// the kernel doesn't tell.
func (m *admitted) SinceReceived() clock.Millis { return m.raw.SinceReceived() }

// SetLinger is that of [net.TCPConn].
func (m *admitted) SetLinger(sec int) error { return m.raw.SetLinger(sec) }

// reserve charges memory up to cost, beyond the allowance. It returns false if there is no
// room, or the connection must give way. m.mu is held.
func (m *admitted) reserve(cost int64) bool {
	if m.done {
		return true
	}
	if more := cost - allowance - m.charge; more > 0 {
		if m.held.Reserve(more) != nil {
			return false
		}
		m.charge += more
	}
	return !m.evicted.Load()
}

// release returns what is charged. m.mu is held.
func (m *admitted) release() {
	m.held.Reset()
	m.charge = 0
	m.evicted.Store(false)
}

// evict makes the connection give way: its reads fail from now on.
func (m *admitted) evict() {
	m.evicted.Store(true)
	// An error means that the connection is closed.
	_ = m.raw.SetReadDeadline(time.Unix(1, 0))
}

// leave takes the connection out of the bounds, once.
func (m *admitted) leave() {
	m.closed.Do(func() {
		if m.guard.OnClose != nil {
			m.guard.OnClose(m.raw.TCPConn)
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.done = true
		m.guard.leave(m)
		m.release()
	})
}

// drop closes the connection without writing to it, and frees its descriptor at once if
// reset is set. It doesn't block.
func (m *admitted) drop(reset bool) {
	m.leave()
	if reset {
		sock.Reset(m.raw)
		return
	}
	// An error means that it is closed.
	_ = m.raw.Close()
}
