package proxy

import (
	"bytes"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/sock"
)

// Flow is how a [Proxy] passes on the bytes of one direction. The zero Flow passes
// them on at once.
type Flow struct {
	// Delay is added to each piece of data.
	Delay clock.Millis
	// Hold keeps all data, and the end of the connection, until the flow changes.
	Hold bool
	// Endless replaces the next piece of data on each connection by bytes without
	// end that look like the head of an HTTP response.
	Endless bool
}

// flow is the current Flow of one direction.
type flow struct {
	Flow
	changed chan struct{} // closed and replaced when the flow changes
}

// SetFlows changes both directions, for open connections too: up is to the target,
// down from it.
func (p *Proxy) SetFlows(up, down Flow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for f, value := range map[*flow]Flow{&p.up: up, &p.down: down} {
		f.Flow = value
		p.wake(f)
	}
}

// wake wakes the connections that a flow holds. The caller holds the lock.
func (p *Proxy) wake(f *flow) {
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = make(chan struct{})
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		sock.Reset(c)
	}
}

// copy passes data on until either side closes. It passes on a reset, too.
func (p *Proxy) copy(dst, src net.Conn, f *flow) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		now, open := p.await(f, dst)
		if !open {
			return
		}
		if n > 0 && now.Endless {
			writeEndless(dst)
			return
		}
		if n > 0 {
			if now.Delay > 0 {
				time.Sleep(now.Delay.Duration())
			}
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if errors.Is(err, syscall.ECONNRESET) {
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		if err != nil {
			return
		}
	}
}

// await waits while the flow holds its data, and returns the flow. open is false if the
// connection c is closed meanwhile.
func (p *Proxy) await(f *flow, c net.Conn) (now Flow, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for f.Hold && p.conns[c] && !p.cut {
		if f.changed == nil {
			f.changed = make(chan struct{})
		}
		changed := f.changed
		p.mu.Unlock()
		<-changed
		p.mu.Lock()
	}
	return f.Flow, p.conns[c]
}

// maxEndless bounds the bytes of an endless response, so that the proxy ends if its
// peer reads all of them.
const maxEndless = 256 << 20

// writeEndless writes a response whose head doesn't end, until the connection closes.
func writeEndless(c net.Conn) {
	if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nX-Endless: ")); err != nil {
		return
	}
	piece := bytes.Repeat([]byte("x"), 32<<10)
	for sent := 0; sent < maxEndless; sent += len(piece) {
		if _, err := c.Write(piece); err != nil {
			return
		}
	}
}
