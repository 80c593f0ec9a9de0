package guard

import (
	"net"
	"time"

	"go.uber.org/zap"
)

// sealedConn is the encrypted side of a connection with TLS. It counts what arrives, since
// crypto/tls holds up to 64 KiB of a handshake and a whole record of any connection.
type sealedConn struct {
	net.Conn
	conn *Conn
}

// Read implements [net.Conn].
func (s sealedConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 && !s.conn.countSealed(int64(n)) {
		return 0, errRefused
	}
	return n, err
}

// countSealed counts bytes that are not decrypted yet. It returns false if there is no room
// for them; the connection is then closed without an answer.
func (c *Conn) countSealed(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving {
		return true
	}
	if c.phase == waiting {
		c.receive()
		// An error means that the connection is closed, which the next read will report.
		_ = c.setReadDeadline(c.deadline())
	}
	c.sealed += n
	if c.reserve(c.cost()) {
		return true
	}
	c.guard.cut(c.raw, HeadsFull, c.sealed, 0)
	// There is no answer that a close would have to deliver. An error means that the
	// connection is closed.
	_ = c.raw.SetLinger(0)
	return false
}

// open performs the TLS handshake, whose time is that of a head.
func (c *Conn) open() error {
	if c.secure == nil || c.opened {
		return nil
	}
	c.opened = true
	// Errors mean that the connection is closed, which the handshake reports.
	_ = c.raw.SetWriteDeadline(time.Now().Add(HeadTimeout.Duration()))
	if err := c.secure.Handshake(); err != nil {
		if c.guard.Log != nil {
			c.guard.Log.Debug("guard: TLS handshake failed", zap.String("listener", c.guard.Name), zap.Stringer("peer", c.raw.RemoteAddr()), zap.Error(err))
		}
		return err
	}
	_ = c.raw.SetWriteDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return net.ErrClosed
	}
	c.endHead()
	c.phase = waiting
	c.guard.move(c.admitted, waiting)
	return c.setReadDeadline(c.deadline())
}
