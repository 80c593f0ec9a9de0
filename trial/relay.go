package trial

import (
	"context"
	"io"
	"net"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
)

// Relay passes TCP connections on to a target, and can be cut.
type Relay struct {
	Target string

	ln    net.Listener
	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
	wait  sync.WaitGroup
}

// Listen starts the relay on a free port of loopback and returns its address.
func (r *Relay) Listen() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r.ln = ln
	r.wait.Go(r.accept)
	return ln.Addr().String(), nil
}

// Cut ends every connection and takes no new ones until [Relay.Heal].
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
	for c := range r.conns {
		_ = c.Close()
	}
}

// Heal undoes [Relay.Cut].
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.Cut()
	r.wait.Wait()
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.wait.Go(func() { r.pass(c) })
	}
}

// keep takes note of a connection; it closes it if the relay is cut.
func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		_ = c.Close()
		return false
	}
	if r.conns == nil {
		r.conns = make(map[net.Conn]bool)
	}
	r.conns[c] = true
	return true
}

func (r *Relay) drop(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// relayDial bounds the connection to the target.
const relayDial = 2 * clock.Second

func (r *Relay) pass(in net.Conn) {
	if !r.keep(in) {
		return
	}
	defer r.drop(in)
	ctx, cancel := context.WithTimeout(context.Background(), relayDial.Std())
	defer cancel()
	var d net.Dialer
	out, err := d.DialContext(ctx, "tcp", r.Target)
	if err != nil || !r.keep(out) {
		return
	}
	defer r.drop(out)
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() {
		_, _ = io.Copy(out, in)
		_ = out.Close()
	})
	_, _ = io.Copy(in, out)
	_ = in.Close()
}
