package proxy

import (
	"context"
	"net"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
)

// Proxy forwards TCP connections to Target until it is cut. Target is required.
type Proxy struct {
	Target string

	ln    net.Listener
	mu    sync.Mutex
	cut   bool
	up    flow // to the target
	down  flow // from the target
	conns map[net.Conn]bool
	wait  sync.WaitGroup
}

// Listen starts the proxy on a free loopback port and returns its address.
func (p *Proxy) Listen() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.ln = ln
	p.wait.Go(p.accept)
	return ln.Addr().String(), nil
}

// Cut simulates a network partition: it closes all connections, and closes new
// ones at once until [Proxy.Heal].
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = true
	for c := range p.conns {
		_ = c.Close()
	}
	p.wake(&p.up)
	p.wake(&p.down)
}

// Heal ends the partition that [Proxy.Cut] began.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = false
}

// Close stops the proxy and waits until all connections are closed.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.Cut()
	p.wait.Wait()
}

// accept forwards new connections until the listener is closed.
func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.wait.Go(func() { p.forward(c) })
	}
}

// add registers a connection, so that Cut can close it. If the proxy is cut, it
// closes the connection and returns false.
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

// remove closes a connection and unregisters it.
func (p *Proxy) remove(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// dialTimeout limits the time to connect to the target.
const dialTimeout = 2 * clock.Second

// forward copies data between a connection and the target in both directions
// until either side closes.
func (p *Proxy) forward(in net.Conn) {
	if !p.add(in) {
		return
	}
	defer p.remove(in)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout.Duration())
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
		p.copy(out, in, &p.up)
		_ = out.Close()
	})
	p.copy(in, out, &p.down)
	_ = in.Close()
}
