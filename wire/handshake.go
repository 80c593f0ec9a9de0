package wire

import (
	"net"
	"sync"

	"lacewinghook.example/lacewinghook/sock"
	"lacewinghook.example/lacewinghook/spool"
)

// handshakeConn charges what arrives during a TLS handshake, of which crypto/tls holds up to
// 64 KiB for any connection.
type handshakeConn struct {
	net.Conn

	mu    sync.Mutex
	held  spool.Buffer
	ended bool
}

// newHandshakeConn returns a connection that charges held, which may be nil. If it must give
// way, it is reset: there is nothing that a close would have to deliver.
func newHandshakeConn(raw net.Conn, held *spool.Pool) *handshakeConn {
	return &handshakeConn{Conn: raw, held: spool.Buffer{Pool: held, Evict: func() { sock.Reset(raw) }}}
}

// Read implements [net.Conn].
func (c *handshakeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || n == 0 {
		return n, err
	}
	if full := c.held.Reserve(int64(n)); full != nil {
		sock.Reset(c.Conn)
		return 0, full
	}
	return n, err
}

// end returns what was charged. Nothing more is.
func (c *handshakeConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.held.Reset()
}
