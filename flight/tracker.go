package flight

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/notify"
	"lacewinghook.example/lacewinghook/shard"
)

// Tracker holds the requests in flight and the open connections. The zero value
// is empty and ready.
type Tracker struct {
	Clock clock.Clock

	running shard.Map[uint64, Request]
	conns   shard.Map[net.Conn, conn]
	last    atomic.Uint64
	n       atomic.Int64
	changed notify.Signal
}

// Request is one request in flight.
type Request struct {
	Path string
	// Since is the instant at which its handler began.
	Since clock.Millis
}

// conn is a caller's connection. Busy means that a request has begun to
// arrive on it or is being answered; else it has been idle since an instant.
type conn struct {
	busy  bool
	since clock.Millis
}

// Len returns the number of requests in flight.
func (b *Tracker) Len() int { return int(b.n.Load()) }

// Each calls f for each request in flight. It must not block.
func (b *Tracker) Each(f func(Request)) {
	b.running.Each(func(_ uint64, r Request) bool {
		f(r)
		return true
	})
}

// Count returns h with its requests counted. While leaving is true, callers
// are asked to close their connections.
func (b *Tracker) Count(h http.Handler, leaving func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := b.last.Add(1)
		b.running.Set(key, Request{Path: r.URL.Path, Since: b.Clock.Now()})
		b.n.Add(1)
		defer b.end(key)
		if leaving() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (b *Tracker) end(key uint64) {
	b.running.Delete(key)
	b.n.Add(-1)
	b.changed.Send()
}

// ConnState takes note of what a caller's connection does. One that was
// accepted and has sent nothing yet counts as idle.
func (b *Tracker) ConnState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		b.conns.Set(c, conn{since: b.Clock.Now()})
	case http.StateActive:
		b.conns.Set(c, conn{busy: true})
	default:
		b.conns.Delete(c)
	}
	b.changed.Send()
}

// Quiet waits until no request is in flight and every connection has been
// idle for the grace, from now on, or until ctx ends. A request that still
// comes in on a kept connection is answered, and told to close it.
func (b *Tracker) Quiet(ctx context.Context, grace clock.Millis) {
	from := b.Clock.Now()
	for ctx.Err() == nil {
		busy, left := b.look(from, grace)
		if !busy && left <= 0 {
			return
		}
		b.wait(ctx, busy, left)
	}
}

// wait ends with a change, or after d if nothing is busy: whatever is busy
// signals its end, and there is nothing else to wait for.
func (b *Tracker) wait(ctx context.Context, busy bool, d clock.Millis) {
	if !busy {
		b.changed.Wait(ctx, b.Clock, d)
		return
	}
	select {
	case <-b.changed.C():
	case <-ctx.Done():
	}
}

// look reports whether a request is in flight, and how long it takes until
// all idle connections have been so for the grace. A connection is busy before
// its request is counted, since the count begins with the handler.
func (b *Tracker) look(from, grace clock.Millis) (busy bool, left clock.Millis) {
	now := b.Clock.Now()
	busy = b.Len() > 0
	b.conns.Each(func(_ net.Conn, c conn) bool {
		busy = busy || c.busy
		left = max(left, max(c.since, from)+grace-now)
		return true
	})
	return busy, left
}
