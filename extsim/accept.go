package extsim

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// gate is a listener that can stop accepting connections.
type gate struct {
	*net.TCPListener
	mu sync.RWMutex
}

// Accept implements [net.Listener].
func (g *gate) Accept() (net.Conn, error) {
	c, err := g.TCPListener.Accept()
	g.mu.RLock()
	defer g.mu.RUnlock()
	return c, err
}

// connectTimeout is the time after which a handshake counts as not completed.
const connectTimeout = 100 * time.Millisecond

// SilenceConnects makes the replica silent to new connections for Silence: it completes no
// handshake.
func (r *Replica) SilenceConnects(t *testing.T) {
	g := r.server.Listener.(*gate)
	raw, err := g.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	setBacklog := func(n int) error {
		var listenErr error
		err := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), n) })
		return errors.Join(err, listenErr)
	}
	g.mu.Lock()
	if err := setBacklog(0); err != nil {
		t.Fatal(err)
	}
	// Once the queue is full, the kernel drops what arrives.
	var waiting []net.Conn
	for {
		c, err := net.DialTimeout("tcp", r.Addr, connectTimeout)
		if err != nil {
			break
		}
		waiting = append(waiting, c)
	}
	time.AfterFunc(r.Silence, func() {
		for _, c := range waiting {
			_ = c.Close()
		}
		// It fails if the replica has been stopped.
		_ = setBacklog(syscall.SOMAXCONN)
		g.mu.Unlock()
	})
}
