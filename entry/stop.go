package entry

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/flight"
	"lacewinghook.example/lacewinghook/member"
	"lacewinghook.example/lacewinghook/meter"
)

// spreadTime is how long the state of a leaving entry takes to reach the others
// at most, as long as they can be reached.
const spreadTime = 3 * clock.Second

// life is how long callers may keep an answer of addresses. It is also how
// long a kept connection must have been idle before a stop closes it: a
// caller that follows the addresses it was given no longer uses it by then.
func (e *Entry) life() clock.Millis {
	if e.Life == 0 {
		return member.AddressTTL
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
	e.Log.Info("entry: takes no more connections", zap.Int("in_flight", e.flights.Len()))
	e.flights.WaitIdle(ctx, min(linger, e.life()))
	faults := []error{e.shutdown(ctx, servers)}
	e.settleCancels(ctx)
	e.closeOrders(ctx)
	e.keeper.Release(ctx)
	if n := e.flights.Len(); n > 0 {
		e.meter.Violated(meter.StopCutsNone, "the process ended with requests in flight")
		e.Log.Error("entry: requests were cut", zap.Int("in_flight", n))
	}
	e.Log.Info("entry: stopped")
	return errors.Join(faults...)
}

func (e *Entry) shutdown(ctx context.Context, servers []*http.Server) error {
	var faults []error
	for _, s := range servers {
		// The callers' listener is closed before; the server may not have taken
		// note of it yet and close it a second time.
		if err := s.Shutdown(ctx); !errors.Is(err, net.ErrClosed) {
			faults = append(faults, err)
		}
	}
	return errors.Join(faults...)
}

// Hurry answers a further stop signal: it logs what an end at once would cut.
// The stop goes on waiting.
func (e *Entry) Hurry() {
	e.flights.Each(func(r flight.Request) {
		e.Log.Warn("entry: still in flight", zap.String("path", r.Path),
			zap.Int64("age", int64(e.Clock.Now()-r.Since)))
	})
	e.Log.Warn("entry: waits for what is in flight", zap.Int("in_flight", e.flights.Len()))
}

// state returns what this entry does.
func (e *Entry) state() core.State {
	if s := e.self.Load(); s != nil {
		return s.State
	}
	return core.Live
}
