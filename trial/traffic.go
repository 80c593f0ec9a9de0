package trial

import (
	"net"
	"net/http"
	"sync/atomic"
)

// Count is a number of calls and of bytes, in and out.
type Count struct {
	Calls int64
	Bytes int64
}

// Traffic is what a set's listeners have seen.
type Traffic struct {
	Platform, Engine, Peer Count
}

// trafficCounter counts what passes a listener.
type trafficCounter struct {
	calls, bytes atomic.Int64
}

func (t *trafficCounter) load() Count {
	return Count{Calls: t.calls.Load(), Bytes: t.bytes.Load()}
}

// Traffic returns the counts of the set's listeners since its start. The
// platform's own looks at the entries are not among them.
func (c *Set) Traffic() Traffic {
	return Traffic{Platform: c.platformTraffic.load(), Engine: c.engineTraffic.load(), Peer: c.peerTraffic.load()}
}

// calls counts the calls of a handler.
func (t *trafficCounter) countCalls(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.calls.Add(1)
		h.ServeHTTP(w, r)
	})
}

// countingListener is a listener whose connections are counted.
type countingListener struct {
	net.Listener
	counter *trafficCounter
}

// Accept implements [net.Listener].
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.counter}, nil
}

// countingConn is a connection whose bytes are counted.
type countingConn struct {
	net.Conn
	counter *trafficCounter
}

// Read implements [net.Conn].
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write implements [net.Conn].
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}
