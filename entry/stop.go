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

// stateSpreadTime is the longest time until all reachable entries know that an
// entry is leaving.
const stateSpreadTime = 3 * clock.Second

// addressTTL returns how long callers may cache the address list. A stopping
// entry closes a keep-alive connection only after it was idle for this time,
// when no caller's cached list contains the address any more.
func (e *Entry) addressTTL() clock.Millis {
	if e.AddressTTL == 0 {
		return member.AddressTTL
	}
	return e.AddressTTL
}

// stop announces that the entry is leaving, serves for the linger period,
// closes the listener, and waits without a limit for requests in flight.
func (e *Entry) stop(ctx context.Context, servers ...*http.Server) error {
	e.leaving.Store(true)
	e.updateState()
	linger := e.Linger
	if linger == 0 {
		linger = e.Settings.Linger
	}
	if linger == 0 {
		linger = e.addressTTL() + stateSpreadTime
	}
	e.Log.Info("entry: leaving", zap.Int64("linger", int64(linger)))
	_ = e.Clock.Sleep(ctx, linger)
	_ = e.Clock.Sleep(ctx, flight.AcceptTime)
	_ = e.Sockets.Callers.Close()
	e.Log.Info("entry: callers' listener closed", zap.Int("in_flight", e.inFlight.Len()))
	e.inFlight.WaitIdle(ctx, min(linger, e.addressTTL()))
	errs := []error{e.shutdown(ctx, servers)}
	e.guards.callers.Closer.Wait(ctx)
	e.waitForCancels(ctx)
	e.closeOrders(ctx)
	e.reconciler.Release(ctx)
	if n := e.inFlight.Len(); n > 0 {
		e.meter.RecordViolation(meter.StopCutsNone, "the process ended with requests in flight")
		e.Log.Error("entry: requests were cut", zap.Int("in_flight", n))
	}
	e.Log.Info("entry: stopped")
	return errors.Join(errs...)
}

// shutdown shuts the servers down and waits for their requests.
func (e *Entry) shutdown(ctx context.Context, servers []*http.Server) error {
	var errs []error
	for _, s := range servers {
		// The callers' listener is closed already. If its Accept hasn't returned
		// yet, Shutdown closes it again and fails with net.ErrClosed.
		if err := s.Shutdown(ctx); !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// LogInFlight handles a repeated stop signal. It logs the requests that would be
// aborted if the process were killed now; the stop continues to wait for them.
func (e *Entry) LogInFlight() {
	e.inFlight.Each(func(r flight.Request) {
		e.Log.Warn("entry: request still in flight", zap.String("path", r.Path),
			zap.Int64("age", int64(e.Clock.Now()-r.Since)))
	})
	e.Log.Warn("entry: waits for what is in flight", zap.Int("in_flight", e.inFlight.Len()))
}

// state returns the state of this entry: live or leaving.
func (e *Entry) state() core.InstanceState {
	if s := e.currentState.Load(); s != nil {
		return s.State
	}
	return core.Live
}
