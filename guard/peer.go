package guard

import "net"

// PeerConn is a connection on which messages are exchanged that aren't HTTP. Their memory is
// bounded by whoever reads them.
type PeerConn struct {
	net.Conn
	*admitted
}

// MarkActive notes that a valid message has arrived. Connections without one give way first,
// and then those that had none for the longest time.
func (c *PeerConn) MarkActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.done {
		c.guard.place(c.admitted, &c.guard.serving)
	}
}

// Close implements [net.Conn].
func (c *PeerConn) Close() error {
	c.leave()
	return c.Conn.Close()
}
