package trial

import (
	"net"
	"net/http"
	"sync/atomic"
)

// TrafficCount counts calls, and bytes in both directions.
type TrafficCount struct {
	Calls int64
	Bytes int64
}

// Traffic holds the counts of a cluster's platform, engine and peer listeners.
// Calls are counted for the platform only.
type Traffic struct {
	Platform, Engine, Peer TrafficCount
}

// trafficCounter counts the calls and bytes of one group of listeners: those of
// the platform, the engines, the services or the peers.
type trafficCounter struct {
	calls, bytes atomic.Int64
}

// load returns the counts so far.
func (t *trafficCounter) load() TrafficCount {
	return TrafficCount{Calls: t.calls.Load(), Bytes: t.bytes.Load()}
}

// Traffic returns the counts since the start of the cluster. They exclude the
// platform's readiness probes of the entries, and the peer listeners of entries
// that LaunchEntry started.
func (c *Cluster) Traffic() Traffic {
	return Traffic{Platform: c.platformTraffic.load(), Engine: c.engineTraffic.load(), Peer: c.peerTraffic.load()}
}

// countCalls returns a handler that calls h and counts the calls.
func (t *trafficCounter) countCalls(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.calls.Add(1)
		h.ServeHTTP(w, r)
	})
}

// countingListener wraps a listener and counts the bytes of its connections.
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

// countingConn wraps a connection and counts its bytes in both directions.
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
