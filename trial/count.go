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

// tally counts what passes a listener.
type tally struct {
	calls, bytes atomic.Int64
}

func (t *tally) count() Count {
	return Count{Calls: t.calls.Load(), Bytes: t.bytes.Load()}
}

// Traffic returns the counts of the set's listeners since its start. The
// platform's own looks at the entries are not among them.
func (s *Set) Traffic() Traffic {
	return Traffic{Platform: s.platform.count(), Engine: s.engine.count(), Peer: s.peer.count()}
}

// calls counts the calls of a handler.
func (t *tally) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.calls.Add(1)
		h.ServeHTTP(w, r)
	})
}

// listener is a listener whose connections are counted.
type listener struct {
	net.Listener
	t *tally
}

// Accept implements [net.Listener].
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{c, l.t}, nil
}

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	t *tally
}

// Read implements [net.Conn].
func (c conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.bytes.Add(int64(n))
	return n, err
}

// Write implements [net.Conn].
func (c conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.bytes.Add(int64(n))
	return n, err
}
