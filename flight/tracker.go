package flight

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/notify"
	"lacewinghook.example/lacewinghook/shard"
)

// AcceptTime is how long a listener stays open after its time to close has come. After a
// machine stood still, connections may be waiting to be accepted, which closing the
// listener would reset; this is long enough to accept them.
const AcceptTime clock.Millis = 50

// Tracker tracks the requests in flight and the open connections. The zero value
// is ready to use.
type Tracker struct {
	Clock clock.Clock
	// ID returns the ID of a request, for [Request]. If nil, requests have none.
	ID func(*http.Request) string

	requests shard.Map[uint64, running]
	conns    shard.Map[net.Conn, conn]
	lastKey  atomic.Uint64
	inFlight atomic.Int64
	changed  notify.Signal
	// closed is the cause with which the contexts of new requests are cancelled.
	closed atomic.Pointer[error]
}

// Request is one request in flight.
type Request struct {
	ID   string
	Path string
	// Since is the time at which its handler started.
	Since clock.Millis
}

// running is a request in flight and the function that cancels its context.
type running struct {
	Request
	cancel context.CancelCauseFunc
}

// conn is the state of a caller's connection. It is busy from the first byte of a
// request until the answer is complete, and otherwise idle since the given time.
type conn struct {
	busy  bool
	since clock.Millis
}

// Len returns the number of requests in flight.
func (t *Tracker) Len() int { return int(t.inFlight.Load()) }

// Each calls f for each request in flight. f must not block.
func (t *Tracker) Each(f func(Request)) {
	t.requests.Each(func(_ uint64, r running) bool {
		f(r.Request)
		return true
	})
}

// Close cancels the contexts of the requests that arrive from now on with the given
// cause. Those in flight go on.
func (t *Tracker) Close(cause error) { t.closed.Store(&cause) }

// Cancel cancels the contexts of the requests in flight with the given cause.
func (t *Tracker) Cancel(cause error) {
	t.requests.Each(func(_ uint64, r running) bool {
		r.cancel(cause)
		return true
	})
}

// Track wraps h to track its requests. While stopping returns true, responses ask
// callers to close their connections.
func (t *Tracker) Track(h http.Handler, stopping func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := t.lastKey.Add(1)
		req := Request{Path: r.URL.Path, Since: t.Clock.Now()}
		if t.ID != nil {
			req.ID = t.ID(r)
		}
		ended, end := context.WithCancelCause(context.WithoutCancel(r.Context()))
		ctx, leave := context.WithCancelCause(core.WithEnded(r.Context(), ended))
		ctx = core.WithLeave(ctx, func() { leave(nil) })
		cancel := func(cause error) {
			end(cause)
			leave(cause)
		}
		defer cancel(nil)
		t.requests.Set(key, running{Request: req, cancel: cancel})
		t.inFlight.Add(1)
		defer t.finish(key)
		if cause := t.closed.Load(); cause != nil {
			cancel(*cause)
		}
		if stopping() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

// finish removes a request whose handler has returned.
func (t *Tracker) finish(key uint64) {
	t.requests.Delete(key)
	t.inFlight.Add(-1)
	t.changed.Send()
}

// ConnContext adds the connection of a caller to the contexts of its requests, for
// [core.CheckCaller]; it is the callback for [http.Server.ConnContext].
func (t *Tracker) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if tls, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = tls.NetConn()
	}
	if caller, ok := c.(core.Caller); ok {
		return core.WithCaller(ctx, caller)
	}
	return ctx
}

// ConnState records the state of a caller's connection; it is the callback for
// [http.Server.ConnState]. A connection that was accepted but has sent nothing yet
// counts as idle.
func (t *Tracker) ConnState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		t.conns.Set(c, conn{since: t.Clock.Now()})
	case http.StateActive:
		t.conns.Set(c, conn{busy: true})
	default:
		t.conns.Delete(c)
	}
	t.changed.Send()
}

// WaitIdle waits until no request is in flight and every connection has been idle
// for grace, counted from the call at the earliest, or until ctx ends. Requests
// that still arrive on a kept-alive connection are answered with "Connection:
// close".
func (t *Tracker) WaitIdle(ctx context.Context, grace clock.Millis) {
	start := t.Clock.Now()
	for ctx.Err() == nil {
		busy, remaining := t.idleStatus(start, grace)
		if !busy && remaining <= 0 {
			return
		}
		t.waitForChange(ctx, busy, remaining)
	}
}

// waitForChange waits for a change of state, at most for d if nothing is busy. While
// a request or connection is busy, no timeout is needed, since its end is signalled.
func (t *Tracker) waitForChange(ctx context.Context, busy bool, d clock.Millis) {
	if !busy {
		t.changed.Wait(ctx, t.Clock, d)
		return
	}
	select {
	case <-t.changed.C():
	case <-ctx.Done():
	}
}

// idleStatus reports whether a request is in flight or a connection busy, and the
// time until all idle connections have been idle for grace. Both are checked,
// since a connection becomes busy before its request is counted by the handler.
func (t *Tracker) idleStatus(start, grace clock.Millis) (busy bool, remaining clock.Millis) {
	now := t.Clock.Now()
	busy = t.Len() > 0
	t.conns.Each(func(_ net.Conn, c conn) bool {
		busy = busy || c.busy
		remaining = max(remaining, max(c.since, start)+grace-now)
		return true
	})
	return busy, remaining
}
