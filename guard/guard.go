package guard

import (
	"container/list"
	"context"
	"crypto/tls"
	"net"
	"sync"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/sock"
	"lacewinghook.example/lacewinghook/spool"
)

// Guard bounds the connections of one listener. Limits is required for HTTP. It must not be
// copied after its first use.
type Guard struct {
	// Name is the listener's in metrics and logs.
	Name string
	// Limits returns the limits in force; its fields Headers, Head and Idle are used.
	Limits func() core.InputLimits
	// MaxConns is the number of connections, zero means no bound.
	MaxConns int
	// Heads, if not nil, bounds the memory of the heads beyond the allowance of each
	// connection. The listeners of a [Process] share it.
	Heads *spool.Pool
	// TLS, if not nil, enables TLS. It must not be set if Messages is.
	TLS *tls.Config
	// Messages is set if the connections are [PeerConn] and carry no HTTP.
	Messages bool
	// Prompt is set if all requests are answered at once. A connection whose request is in
	// flight then gives way too, after those between requests.
	Prompt bool
	// OnClose, if not nil, is called before a connection is closed. It must not block.
	OnClose func(*net.TCPConn)
	// Closer closes the connections. Those whose peers haven't received everything count as
	// connections.
	Closer sock.Closer
	Clock  clock.Clock
	Meter  *meter.Registry
	Log    *zap.Logger

	// One lock, since the number and the order are those of all connections. It is taken
	// when the phase of a connection changes, not for each read.
	mu   sync.Mutex
	open int
	// between holds the connections that wait for a request or receive a head, in the order
	// in which they began to. serving holds those that give way if between is empty.
	between, serving list.List
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

// Len returns the number of open connections.
func (g *Guard) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// Listener returns a listener whose connections are bounded by g, if those of ln are TCP.
func (g *Guard) Listener(ln net.Listener) net.Listener {
	return listener{g.Closer.Listener(ln), g}
}

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
func (g *Guard) admit(conn *sock.Conn) net.Conn {
	if closing := g.Closer.Len(); g.MaxConns > 0 && g.Len()+closing >= g.MaxConns {
		oldest, since := g.oldest()
		if oldest != nil {
			// An error means that the time is over.
			_ = g.Clock.Sleep(context.Background(), since+g.turn()-g.Clock.Now())
			oldest, _ = g.oldest()
		}
		if oldest == nil {
			g.cut(conn, TooMany, 0, 0)
			sock.Reset(conn)
			return nil
		}
		g.cut(oldest.raw, GaveWay, 0, 0)
		oldest.drop(closing > g.MaxConns/maxClosingShare)
	}
	m := &admitted{raw: conn, guard: g}
	m.held = spool.Buffer{Pool: g.Heads, Lasting: true, Evict: m.evict}
	g.mu.Lock()
	g.open++
	g.insert(m, &g.between)
	g.mu.Unlock()
	if g.Messages {
		return &PeerConn{Conn: conn, admitted: m}
	}
	c := &Conn{Conn: conn, admitted: m, phase: waiting}
	if g.TLS != nil {
		c.secure = tls.Server(sealedConn{conn, c}, g.TLS)
		c.Conn = c.secure
		c.phase = receiving
	}
	return c
}

// maxClosingShare is the share of MaxConns, as a divisor, that may be closing. Beyond it,
// a connection that gives way is reset, which frees its descriptor at once.
const maxClosingShare = 8

// Without a pause a listener with many new connections would close each before its goroutine
// has read the request that came with it, and take all of the processor's time.
const (
	// minTurn is how long a connection waits at least before it gives way.
	minTurn clock.Millis = 20
	// maxGiveWayPerMilli is how many connections give way in a millisecond at most.
	maxGiveWayPerMilli = 2
)

// turn returns how long a connection waits before it gives way.
func (g *Guard) turn() clock.Millis {
	return max(minTurn, clock.Millis(g.MaxConns/maxGiveWayPerMilli))
}

// oldest returns the connection that gives way, and the instant since which it has its phase:
// the one that has waited for a request, or for the rest of a head, for the longest time, or
// else the first of those that are served. It returns nil if none may give way.
func (g *Guard) oldest() (m *admitted, since clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := g.between.Front()
	if first == nil {
		first = g.serving.Front()
	}
	if first == nil {
		return nil, 0
	}
	m, _ = first.Value.(*admitted)
	return m, m.since
}

// move notes the new phase of a connection.
func (g *Guard) move(m *admitted, to phase) {
	switch {
	case to != serving:
		g.place(m, &g.between)
	case g.Prompt:
		g.place(m, &g.serving)
	default:
		g.place(m, nil)
	}
}

// place moves m to the end of an order, or to none if it is nil.
func (g *Guard) place(m *admitted, order *list.List) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(m)
	if order != nil {
		g.insert(m, order)
	}
}

// insert adds m to the end of an order. g.mu is held.
func (g *Guard) insert(m *admitted, order *list.List) {
	m.order, m.place, m.since = order, order.PushBack(m), g.Clock.Now()
}

// remove takes m from its order. g.mu is held.
func (g *Guard) remove(m *admitted) {
	if m.order != nil {
		m.order.Remove(m.place)
		m.order, m.place = nil, nil
	}
}

// leave removes a connection that is being closed.
func (g *Guard) leave(m *admitted) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(m)
	g.open--
}

// cut counts and logs that a connection is cut.
func (g *Guard) cut(conn *sock.Conn, r Reason, bytes, lines int64) {
	g.Meter.Add("connections_cut_total", 1, "listener", g.Name, "reason", string(r))
	if g.Log != nil {
		g.Log.Info("guard: connection cut", zap.String("listener", g.Name), zap.String("reason", string(r)), zap.Stringer("caller", conn.RemoteAddr()),
			zap.Int64("bytes", bytes), zap.Int64("lines", lines), zap.Int("connections", g.Len()), zap.Int64("held", g.heldBytes()))
	}
}

// heldBytes returns the memory that is charged for the heads of all listeners.
func (g *Guard) heldBytes() int64 {
	if g.Heads == nil {
		return 0
	}
	return g.Heads.Used()
}
