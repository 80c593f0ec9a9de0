package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/member"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/shard"
)

// spreadTime is how long the news of a leaving entry takes to reach the others
// at most, as long as they can be reached.
const spreadTime = 3 * clock.Second

// life is how long callers may keep an answer of addresses. It is also how
// long a kept connection must have been idle before a stop closes it: a
// caller that follows the addresses it was given no longer uses it by then.
func (e *Entry) life() clock.Millis {
	if e.Life == 0 {
		return member.AddressLife
	}
	return e.Life
}

// stop leaves, lingers, and waits for what is in flight, for as long as it
// takes.
func (e *Entry) stop(ctx context.Context, servers ...*http.Server) error {
	e.leaving.Store(true)
	e.announce()
	linger := e.Linger
	if linger == 0 {
		linger = e.Settings.Linger
	}
	if linger == 0 {
		linger = e.life() + spreadTime
	}
	e.Log.Info("entry: leaving", zap.Int64("linger", int64(linger)))
	_ = e.Clock.Sleep(ctx, linger)
	_ = e.Sockets.Callers.Close()
	e.Log.Info("entry: takes no more connections", zap.Int("in_flight", e.flights.count()))
	e.flights.quiet(ctx, e.Clock, min(linger, e.life()))
	faults := []error{e.shutdown(ctx, servers)}
	e.settleCancels(ctx)
	e.closeOrders(ctx)
	e.keeper.Release(ctx)
	if n := e.flights.count(); n > 0 {
		e.meter.Violated(meter.StopCutsNone, "the process ended with requests in flight")
		e.Log.Error("entry: requests were cut", zap.Int("in_flight", n))
	}
	e.Log.Info("entry: stopped")
	return errors.Join(faults...)
}

func (e *Entry) shutdown(ctx context.Context, servers []*http.Server) error {
	var faults []error
	for _, s := range servers {
		faults = append(faults, s.Shutdown(ctx))
	}
	return errors.Join(faults...)
}

// Hurry answers a further stop signal: it logs what an end at once would cut.
// The stop goes on waiting.
func (e *Entry) Hurry() {
	e.flights.running.Each(func(_ uint64, f flight) bool {
		e.Log.Warn("entry: still in flight", zap.String("path", f.path),
			zap.Int64("age", int64(e.Clock.Now()-f.since)))
		return true
	})
	e.Log.Warn("entry: waits for what is in flight", zap.Int("in_flight", e.flights.count()))
}

// flight is one request in flight.
type flight struct {
	path  string
	since clock.Millis
}

// flights knows the requests in flight and the connections of callers. The
// zero value is ready but for changed.
type flights struct {
	running shard.Map[uint64, flight]
	// conns holds the callers' open connections.
	conns   shard.Map[net.Conn, link]
	last    atomic.Uint64
	n       atomic.Int64
	changed chan struct{}
}

func (f *flights) count() int { return int(f.n.Load()) }

// counted counts the requests in flight. While the entry is leaving it asks
// callers to close their connections.
func (e *Entry) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := e.flights.last.Add(1)
		e.flights.running.Set(key, flight{path: r.URL.Path, since: e.Clock.Now()})
		e.flights.n.Add(1)
		defer e.flights.end(key)
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (f *flights) end(key uint64) {
	f.running.Delete(key)
	f.n.Add(-1)
	f.ring()
}

func (f *flights) ring() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// quiet waits until no request is in flight and every connection has been
// idle for the grace, from now on. A request that still comes in on a kept
// connection is answered, and told to close it.
func (f *flights) quiet(ctx context.Context, c clock.Clock, grace clock.Millis) {
	from := c.Now()
	for ctx.Err() == nil {
		busy, left := f.look(from, c.Now(), grace)
		if !busy && left <= 0 {
			return
		}
		due := make(chan struct{})
		stop := func() bool { return true }
		if !busy {
			// While something is busy its end rings; there is nothing else to
			// wait for.
			stop = c.AfterFunc(left, func() { close(due) })
		}
		select {
		case <-due:
		case <-f.changed:
		case <-ctx.Done():
		}
		stop()
	}
}

// look reports whether a request is in flight, and how long it takes until
// all idle connections have been so for the grace. A connection is busy before
// its request is counted, since the count begins with the handler.
func (f *flights) look(from, now, grace clock.Millis) (busy bool, left clock.Millis) {
	busy = f.count() > 0
	f.conns.Each(func(_ net.Conn, l link) bool {
		busy = busy || l.busy
		left = max(left, max(l.since, from)+grace-now)
		return true
	})
	return busy, left
}

// state returns what this entry does.
func (e *Entry) state() core.State {
	if s := e.self.Load(); s != nil {
		return s.State
	}
	return core.Live
}
