package hconn

import (
	"context"
	"slices"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
)

// Pool holds idle connections by key, which identifies the server. The zero
// value is ready to use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// maxIdlePerPeer is the maximum number of idle connections per server.
const maxIdlePerPeer = 8

// Connect returns an idle connection with this key that accepts a request with this ID,
// or dials addr.
func (p *Pool) Connect(ctx context.Context, key, addr, id string, now clock.Millis) (*Conn, error) {
	if c := p.takeIdle(key, id, now); c != nil {
		return c, nil
	}
	return Dial(ctx, addr)
}

// takeIdle removes and returns a reusable idle connection that accepts a request with
// this ID, or returns nil. It closes those that aren't reusable any more.
func (p *Pool) takeIdle(key, id string, now clock.Millis) *Conn {
	for {
		c := p.popIdle(key, id)
		if c == nil {
			return nil
		}
		if now < c.reusableUntil && c.reusable() {
			return c
		}
		_ = c.Close()
	}
}

// popIdle removes and returns the connection that became idle last, of those that
// accept a request with this ID, or returns nil.
func (p *Pool) popIdle(key, id string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; c.accepts(id) {
			p.idle[key] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// Put adds an idle connection that stays reusable for keepAlive. It closes the
// connection if keepAlive isn't positive or it has carried maxCarried IDs, and the one
// that is idle for longest if the server has maxIdlePerPeer already.
func (p *Pool) Put(key string, c *Conn, now, keepAlive clock.Millis) {
	c.reusableUntil = now + keepAlive
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*Conn)
	}
	if keepAlive <= 0 || len(c.carried) >= maxCarried {
		_ = c.Close()
		return
	}
	list := p.idle[key]
	if len(list) >= maxIdlePerPeer {
		_ = list[0].Close()
		list = slices.Delete(list, 0, 1)
	}
	p.idle[key] = append(list, c)
}

// Retain closes the idle connections to servers whose key isn't in keys.
func (p *Pool) Retain(keys map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		if !keys[key] {
			for _, c := range list {
				_ = c.Close()
			}
			delete(p.idle, key)
		}
	}
}
