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
	"lacewinghook.example/lacewinghook/platform"
	"lacewinghook.example/lacewinghook/sock"
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
	e.stopBegun.Store(int64(begun))
	e.stopBy.Store(int64(end))
	e.lingerUntil.Store(int64(begun + linger + flight.AcceptTime))
	e.cachedUntil.Store(int64(begun + min(addressCacheFactor*e.Settings.Fleet.Keep, linger) - signalDelay))
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
	_ = e.Clock.Sleep(ctx, flight.AcceptTime)
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
	// A request that arrives while the connections are closed is rejected before it is
	// passed on.
	e.inFlight.Close(codes.New(codes.Leaving, "the entry closes its connections"))
	e.inFlight.WaitIdle(stopCtx, 0)
	e.endRequests(ctx, begun)
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
	e.deliverRest(ctx, end)
	e.Log.Info("edge: servers closed", zap.Int64("since_stop", int64(e.Clock.Now()-begun)), zap.Int("in_flight", e.inFlight.Len()), zap.Int("undelivered", e.guards.callers.Closer.Len()))
}

// endRequests ends the requests that are left at the end of the grace period, and waits
// until those without a response have one, and until the last chunks of the others are
// written. begun is the instant at which the stop began.
func (e *Edge) endRequests(ctx context.Context, begun clock.Millis) {
	e.logCut(begun)
	e.inFlight.Cancel(codes.New(codes.Leaving, "the grace period has ended"))
	ctx, cancel := context.WithTimeout(ctx, responseTime.Duration())
	defer cancel()
	e.inFlight.WaitIdle(ctx, 0)
}

// deliverRest waits until callers have received the ends of their answers. end is the
// instant at which the stop ends.
func (e *Edge) deliverRest(ctx context.Context, end clock.Millis) {
	ctx, cancel := context.WithTimeout(ctx, (end + responseTime + deliveryTime - e.Clock.Now()).Duration())
	defer cancel()
	e.guards.callers.Closer.Wait(ctx)
}

// logCut logs the requests that have not ended by the end of the grace period. begun is
// the instant at which the stop began.
func (e *Edge) logCut(begun clock.Millis) {
	now := e.Clock.Now()
	e.inFlight.Each(func(r flight.Request) {
		e.Log.Warn("edge: request cut by the stop", zap.String("request", r.ID), zap.String("path", r.Path),
			zap.Int64("age", int64(now-r.Since)), zap.Int64("since_stop", int64(now-begun)))
	})
}

// logOutcome logs how a request ended that was in flight during a stop, also one that was
// answered in full: what is lost after that leaves no other line.
func (e *Edge) logOutcome(o platform.Outcome) {
	if !e.leaving.Load() {
		return
	}
	begun := clock.Millis(e.stopBegun.Load())
	e.Log.Info("edge: request ended during the stop", zap.String("request", o.ID), zap.Int64("arrived", int64(o.Arrived-begun)),
		zap.Int64("ended", int64(e.Clock.Now()-begun)), zap.Int("status", o.Status), zap.Int64("written", o.Written), zap.Bool("complete", o.Complete))
}

// logPending logs that a connection is closed during a stop while bytes of its caller are
// unread or bytes sent to it are not acknowledged.
func (e *Edge) logPending(c *net.TCPConn) {
	if !e.leaving.Load() {
		return
	}
	unread, unsent, err := sock.Pending(c)
	if err != nil || unread == 0 && unsent == 0 {
		// An error means that the connection has failed already.
		return
	}
	e.Log.Info("edge: connection closed during the stop with bytes pending", zap.Stringer("caller", c.RemoteAddr()),
		zap.Int64("since_stop", int64(e.Clock.Now())-e.stopBegun.Load()), zap.Int("unread", unread), zap.Int("unsent", unsent))
}

// CheckFinishes implements [relay.Finisher]. While the entry stops, it returns an error for
// a request that may not be finished: one whose deadline is after the end of the stop, if it
// may take longer than is left.
func (e *Edge) CheckFinishes(r *core.Request) error { return e.checkFinishes(r, false) }

// checkFinishes is CheckFinishes. A request that arrives is logged also if it is admitted.
func (e *Edge) checkFinishes(r *core.Request, arrives bool) error {
	if !e.leaving.Load() {
		return nil
	}
	now, stopBy := e.Clock.Now(), clock.Millis(e.stopBy.Load())
	if r.Deadline <= stopBy {
		return nil
	}
	left := stopBy - now
	longest := e.longestDuration(r)
	admitted := longest <= left
	if arrives || !admitted {
		e.Log.Info("edge: request during the stop", zap.String("request", r.Opaque.ID), zap.Bool("admitted", admitted), zap.Bool("arrives", arrives),
			zap.Int64("left", int64(left)), zap.Int64("longest", int64(longest)), zap.Int("tokens", r.MaxTokens))
	}
	if !admitted {
		return codes.New(codes.Leaving, "%d ms are left, the request may take %d ms", left, longest).WithRun(codes.NotRun).WithRetryAfter(leavingRetryAfter)
	}
	return nil
}

// longestDuration returns how long a request may take, until its deadline at most.
//
// A stream whose caller has no reason any more to have the address may last until its
// deadline: how long others took is no bound for it, and once its answer has begun it can
// only be cut. So may a call of a kind with long answers. For other requests the estimate is
// that of the requests of the kind that have ended, of the streams that are running, and the
// silence of a sound upstream. A call that outlasts it is answered with a failure.
func (e *Edge) longestDuration(r *core.Request) clock.Millis {
	o := r.Opaque
	unbounded := r.Deadline - r.Arrived
	now, kind := e.Clock.Now(), durationKind(o)
	_, long := e.longAnswers.Get(kind)
	if (o.Route.Stream || o.Route.Generates || long) && r.Arrived >= clock.Millis(e.cachedUntil.Load()) {
		return unbounded
	}
	usual := e.durations.Usual(kind)
	longest, count := e.durations.Longest(kind, durationSize(r), now)
	if now >= clock.Millis(e.lingerUntil.Load()) {
		if count < minDurations {
			return unbounded
		}
		if !o.Route.Repeatable {
			usual *= onceFactor
		}
	}
	silence := min(e.relay.LongestSilence(), e.Settings.Fleet.Grace.Millis()/maxSilenceShare)
	return min(max(usual, longest+silence), unbounded)
}

// maxSilenceShare is the share of the grace period that is reserved for the silence of a
// sound upstream at most, as a divisor: with a short grace period the entry would otherwise
// reject callers that can't know yet that it is leaving.
const maxSilenceShare = 4

// minDurations is the number of durations from which the longest of them is relied on: of
// a process that has just started, the short requests end first.
const minDurations = 10

// onceFactor is the additional margin for a call that may not be repeated: if it is cut,
// nobody knows whether it ran.
const onceFactor = 2

// durationKind returns the kind of a request for which durations are estimated.
func durationKind(o *core.Opaque) string { return o.Service + " " + o.Route.Name }

// durationSize returns the size of a request by which its duration is estimated.
func durationSize(r *core.Request) flight.Size {
	return flight.Size{Prompt: r.Opaque.PromptTokens, Answer: r.MaxTokens}
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
	// signalDelay is how late a process may handle SIGTERM that had no processor time. The
	// times of a stop count from the signal.
	signalDelay clock.Millis = 200
	// killMargin is the time left for the process to exit before the platform
	// kills it at the end of the grace period, at most a tenth of that. Parts of it are
	// responseTime, in which the requests that are left get a response, and deliveryTime
	// after that, in which callers receive the ends of their answers.
	killMargin   clock.Millis = 500
	responseTime clock.Millis = 150
	deliveryTime clock.Millis = 100
)
