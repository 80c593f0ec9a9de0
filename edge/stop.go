package edge

import (
	"context"
	"net"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/flight"
)

// stop performs a graceful shutdown. It announces that the entry is leaving and
// continues to serve while callers may still have its address cached. Then it accepts
// no more connections, and answers what arrives on those that it has until the requests
// in flight have ended. All of this ends within the grace period.
func (e *Edge) stop(ctx context.Context, servers []*server) {
	begun := e.Clock.Now()
	grace := e.Settings.Fleet.Grace.Millis()
	linger := min(addressCacheFactor*e.Settings.Fleet.Keep+lookupTime, grace/2)
	end := begun + grace - min(killMargin, grace/10)
	e.stopBy.Store(int64(end))
	e.leaving.Store(true)
	e.gossip.Trigger()
	e.Log.Info("edge: leaving", zap.Int64("linger", int64(linger)), zap.Int64("grace", int64(grace)))
	rowCtx, cancel := context.WithTimeout(ctx, linger.Duration())
	defer cancel()
	go func() {
		if err := e.watcher.Deregister(rowCtx); err != nil {
			e.Log.Warn("edge: removing the entry's own row failed", zap.Error(err))
		}
	}()
	// The error is ignored: a cancelled context just ends the wait early.
	_ = e.Clock.Sleep(ctx, linger)
	stopCtx, cancel := context.WithTimeout(ctx, (end - e.Clock.Now()).Duration())
	defer cancel()
	for _, s := range servers {
		if s.callers {
			// http.Server.Shutdown would drop requests that it reads from then on.
			if err := s.ln.Close(); err != nil {
				e.Log.Warn("edge: closing the callers' listener failed", zap.Error(err))
			}
		}
	}
	e.inFlight.WaitIdle(stopCtx, idleTime)
	e.logCut(begun)
	for _, s := range servers {
		var err error
		switch {
		case s.callers:
			// Shutdown would wait for connections on which no request has arrived, and
			// drop the request if one does.
			err = s.http.Close()
		case s.http != nil:
			err = s.http.Shutdown(stopCtx)
		}
		if err != nil && !errors.Is(err, net.ErrClosed) {
			e.Log.Warn("edge: closing a server failed", zap.Stringer("addr", s.ln.Addr()), zap.Error(err))
		}
	}
}

// logCut logs the requests that have not ended by the end of the grace period. begun is
// the instant at which the stop began.
func (e *Edge) logCut(begun clock.Millis) {
	now := e.Clock.Now()
	e.inFlight.Each(func(r flight.Request) {
		e.meter.Add("unanswered_total", 1, "begun", "unknown", "by", "stop")
		e.Log.Warn("edge: request cut by the stop", zap.String("request", r.ID), zap.String("path", r.Path),
			zap.Int64("age", int64(now-r.Since)), zap.Int64("since_stop", int64(now-begun)))
	})
}

// checkFinishes returns an error for a completion that a stopping entry could not
// finish.
func (e *Edge) checkFinishes(o *core.Opaque) error {
	if !e.leaving.Load() || !o.Route.Generates {
		return nil
	}
	left := clock.Millis(e.stopBy.Load()) - e.Clock.Now()
	if usual := e.durations.Usual(o.Service); usual > left {
		return codes.New(codes.Leaving, "%d ms are left, completions take up to %d ms", left, usual).WithRetryAfter(leavingRetryAfter)
	}
	return nil
}

// Times of a graceful shutdown.
const (
	// Some callers cache an address list for up to addressCacheFactor times
	// its TTL. lookupTime allows for the delivery of an answer that was just
	// sent.
	addressCacheFactor              = 3
	lookupTime         clock.Millis = 200
	// idleTime is how long a connection must be idle before it is closed, so that a
	// request that is on its way still arrives.
	idleTime clock.Millis = 200
	// leavingRetryAfter is the time after which a rejected caller may try another
	// entry, which can take the request at once.
	leavingRetryAfter clock.Millis = 50
	// killMargin is the time left for the process to exit before the platform
	// kills it at the end of the grace period, at most a tenth of that.
	killMargin clock.Millis = 500
)
