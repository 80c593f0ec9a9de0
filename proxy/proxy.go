package proxy

import (
	"context"
	"io"
	"net"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
)

// Proxy passes TCP connections on to a target, and can be cut.
type Proxy struct {
	Target string

	ln    net.Listener
	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
	wait  sync.WaitGroup
}

// Listen starts the proxy on a free port of loopback and returns its address.
func (p *Proxy) Listen() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.ln = ln
	p.wait.Go(p.accept)
	return ln.Addr().String(), nil
}

// Cut ends every connection and takes no new ones until [Proxy.Heal].
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = true
	for c := range p.conns {
		_ = c.Close()
	}
}

// Heal undoes [Proxy.Cut].
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = false
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.Cut()
	p.wait.Wait()
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.wait.Go(func() { p.forward(c) })
	}
}

// add takes note of a connection; it closes it if the relay is cut.
func (p *Proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		_ = c.Close()
		return false
	}
	if p.conns == nil {
		p.conns = make(map[net.Conn]bool)
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) remove(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// dialTimeout bounds the connection to the target.
const dialTimeout = 2 * clock.Second

func (p *Proxy) forward(in net.Conn) {
	if !p.add(in) {
		return
	}
	defer p.remove(in)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout.Std())
	defer cancel()
	var d net.Dialer
	out, err := d.DialContext(ctx, "tcp", p.Target)
	if err != nil || !p.add(out) {
		return
	}
	defer p.remove(out)
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() {
		_, _ = io.Copy(out, in)
		_ = out.Close()
	})
	_, _ = io.Copy(in, out)
	_ = in.Close()
}
