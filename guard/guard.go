package guard

import (
	"container/list"
	"math"
	"net"
	"sync"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/sock"
	"lacewinghook.example/lacewinghook/spool"
)

// Guard bounds the connections of callers of one process. Limits is required. It must not
// be copied after its first use.
type Guard struct {
	// Limits returns the limits in force; its fields Headers, Head and Idle are used.
	Limits func() core.InputLimits
	// MaxConns is the number of connections, zero means no bound.
	MaxConns int
	// Heads bounds the memory of the heads beyond the allowance of each connection.
	Heads spool.Pool
	// Closing, if not nil, returns the number of connections that were closed and still
	// have a descriptor. They count as connections.
	Closing func() int
	// OnClose, if not nil, is called before a connection is closed. It must not block.
	OnClose func(*net.TCPConn)
	Meter   *meter.Registry
	Log     *zap.Logger

	// One lock, since the number and the order are those of all connections. It is taken
	// when the phase of a connection changes, not for each read.
	mu   sync.Mutex
	open int
	// between holds the connections that wait for a request or receive a head, in the
	// order in which they began to.
	between list.List
}

// Reason is why a connection was cut or a request refused before it ran.
type Reason string

const (
	// HeadTooLarge means that the head is over the limit in force.
	HeadTooLarge Reason = "head_too_large"
	// HeadsFull means that the heads of all connections leave no room for this one.
	HeadsFull Reason = "heads_full"
	// GaveWay means that the connection had waited longest, for a request or for the rest
	// of a head, when a new one came.
	GaveWay Reason = "gave_way"
	// TooMany means that a new connection came and none could give way.
	TooMany Reason = "too_many"
)

// code returns the code with which a request is refused.
func (r Reason) code() codes.Code {
	if r == HeadTooLarge {
		return codes.TooLarge
	}
	return codes.InputFull
}

// Register adds the gauges of g to its metrics.
func (g *Guard) Register() {
	g.Meter.Gauge("caller_connections", func() float64 { return float64(g.Len()) })
	g.Meter.Gauge("heads_held_bytes", func() float64 { return float64(g.Heads.Used()) })
}

// Len returns the number of open connections.
func (g *Guard) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// Listener returns a listener whose connections are bounded by g, if those of ln are
// [sock.Conn].
func (g *Guard) Listener(ln net.Listener) net.Listener { return listener{ln, g} }

// listener is the result of [Guard.Listener].
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements [net.Listener].
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn, ok := c.(*sock.Conn)
		if !ok {
			return c, nil
		}
		if accepted := l.guard.admit(conn); accepted != nil {
			return accepted, nil
		}
	}
}

// admit returns the connection, or nil if it was closed since there are too many.
func (g *Guard) admit(conn *sock.Conn) *Conn {
	if closing := g.closing(); g.MaxConns > 0 && g.Len()+closing >= g.MaxConns {
		oldest := g.oldest()
		if oldest == nil {
			g.cut(conn, TooMany, 0, 0)
			resetClose(conn)
			return nil
		}
		g.cut(oldest.Conn, GaveWay, 0, 0)
		if closing > g.MaxConns/maxClosingShare {
			resetClose(oldest)
		} else {
			// An error means that it is closed, which frees its place too.
			_ = oldest.Close()
		}
	}
	c := &Conn{Conn: conn, guard: g, phase: waiting}
	c.held = spool.Buffer{Pool: &g.Heads, Lasting: true, Evict: c.evict}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open++
	c.place = g.between.PushBack(c)
	return c
}

// maxClosingShare is the share of MaxConns, as a divisor, that may be closing. Beyond it,
// a connection that gives way is reset, which frees its descriptor at once.
const maxClosingShare = 8

// closing returns the number of connections that were closed and have a descriptor.
func (g *Guard) closing() int {
	if g.Closing == nil {
		return 0
	}
	return g.Closing()
}

// resetClose closes a connection and drops what its peer hasn't received. An error means
// that it is closed.
func resetClose(c interface {
	SetLinger(sec int) error
	Close() error
}) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// oldest returns the connection that has waited for a request, or for the rest of a head,
// for the longest time. It returns nil if all are serving.
func (g *Guard) oldest() *Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := g.between.Front()
	if first == nil {
		return nil
	}
	c, _ := first.Value.(*Conn)
	return c
}

// move notes the new phase of c.
func (g *Guard) move(c *Conn, to phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(c)
	if to != serving {
		c.place = g.between.PushBack(c)
	}
}

// remove takes c from between. g.mu is held.
func (g *Guard) remove(c *Conn) {
	if c.place != nil {
		g.between.Remove(c.place)
		c.place = nil
	}
}

// leave removes a connection that is being closed.
func (g *Guard) leave(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(c)
	g.open--
}

// cut counts and logs that a connection is cut.
func (g *Guard) cut(conn *sock.Conn, r Reason, bytes, lines int64) {
	g.Meter.Add("connections_cut_total", 1, "reason", string(r))
	if g.Log != nil {
		g.Log.Info("guard: connection cut", zap.String("reason", string(r)), zap.Stringer("caller", conn.RemoteAddr()),
			zap.Int64("bytes", bytes), zap.Int64("lines", lines), zap.Int("connections", g.Len()), zap.Int64("held", g.Heads.Used()))
	}
}

// Bounds of the default of MaxConns.
const (
	// bytesPerConn is the memory of a process for which it has one connection. One that
	// waits took 8 KiB; one whose request is in flight takes more, which wasn't measured.
	bytesPerConn = 64 << 10
	// descriptorShare is the share of the descriptors that callers may use, as a divisor.
	// The rest is for upstreams, peers and the store.
	descriptorShare = 2
)

// DefaultConns returns MaxConns for a process with a memory limit in bytes.
func DefaultConns(memory int64) int {
	n := memory / bytesPerConn
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
		n = min(n, int64(min(limit.Cur, math.MaxInt32))/descriptorShare)
	}
	return int(n)
}
