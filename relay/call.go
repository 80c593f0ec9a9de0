package relay

import (
	"context"
	"io"
	"slices"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
)

// maxBufferedBytes is the largest answer that is read completely before the
// caller receives any of it, so that a truncated answer can be retried.
const maxBufferedBytes = 64 << 10

// call forwards a call of a plain service and retries it where that is allowed.
func (x *exchange) call(ctx context.Context) error {
	for {
		err := x.callOnce(ctx)
		if err == nil || x.headSent {
			return err
		}
		if !x.canRetry(ctx, err) {
			if x.fallback != nil && !x.callerGone {
				return x.deliver(x.fallback)
			}
			return err
		}
	}
}

// callOnce sends the call to one replica and delivers its answer. If it returns
// an error before the head of the answer was sent, the caller may retry.
func (x *exchange) callOnce(ctx context.Context) error {
	if ctx.Err() != nil {
		return codes.From(ctx.Err()).WithRun(codes.NotRun)
	}
	up, usual, cost, ok := x.selectReplica()
	if !ok {
		return codes.New(codes.NoUpstream, "service %q", x.opaque.Service)
	}
	if err := x.chargeBudget(); err != nil {
		return codes.Wrap(codes.BudgetSpent, err, "service %q", x.opaque.Service).WithRun(codes.NotRun)
	}
	x.log.Info("relay: replica chosen", append(x.relay.replicaListFields(), zap.String("request", x.opaque.ID),
		zap.String("service", x.opaque.Service), zap.String("upstream", up.Name), zap.String("addr", up.Addr),
		zap.Float64("expected", cost), zap.Int("sends", x.sends))...)
	w := pool.Work{Requests: 1}
	x.relay.Pool.Begin(up.Name, w)
	defer x.relay.Pool.End(up.Name, w)
	start := x.relay.Clock.Now()
	call, wd := x.watchCall(ctx, up, usual)
	defer wd.cancel(nil)
	a, err := x.relay.Upstreams.Send(call, up, SendRequest{Request: x.request, Finish: !x.repeatable()})
	if err == nil {
		defer a.Body.Close()
		x.relay.markReachable(up)
		x.relay.Pool.ObserveFirstToken(up.Name, x.relay.Clock.Now()-start)
		err = x.deliverAnswer(up, a, wd)
	}
	wd.stop()
	if err != nil && errors.Is(context.Cause(call), errUpstreamIdle) && ctx.Err() == nil {
		err = codes.Wrap(codes.UpstreamTimeout, errors.Join(errUpstreamIdle, err), "%s after %d ms", up.Name, x.relay.Clock.Now()-start)
	}
	if err != nil && !x.headSent && !x.callerGone {
		x.recordFailure(ctx, up, start, err)
	}
	return err
}

// Parameters of the silence after which a call may be sent to another replica: the
// largest of sendTimeoutFactor times the replica's usual answer time, sendTimeoutTargets
// times the latency target, and minSendTimeout. A shorter one would abandon a slow
// answer for a retry that arrives no earlier.
const (
	sendTimeoutFactor               = 6
	sendTimeoutTargets              = 2
	minSendTimeout     clock.Millis = 400
)

// watchCall returns a context for one send, and its watchdog, which abandons the replica
// once another one is available and the retry budget allows a send. A call that may not
// be sent again isn't watched. usual is the replica's usual answer time.
func (x *exchange) watchCall(ctx context.Context, up core.Upstream, usual clock.Millis) (context.Context, *watchdog) {
	call, cancel := context.WithCancelCause(ctx)
	if !x.repeatable() || x.possibleRuns >= x.opaque.Route.Profile.Retries {
		return call, unwatched(cancel)
	}
	w := &watchdog{
		clock: x.relay.Clock, limit: max(usual*sendTimeoutFactor, x.request.Profile.FirstToken*sendTimeoutTargets, minSendTimeout),
		secure: func(context.Context) bool {
			return x.timeLeft() >= minTimeLeft && x.hasOther(up) && x.payRetries(1)
		},
		unsecure: func() {}, cancel: cancel,
	}
	w.start(ctx)
	return call, w
}

// hasOther reports whether a replica other than up is available for the call.
func (x *exchange) hasOther(up core.Upstream) bool {
	_, replicas := x.replicas()
	return slices.ContainsFunc(replicas, func(r route.Replica) bool { return r.Name != up.Name && !r.Excluded })
}

// deliverAnswer delivers a replica's answer. An answer of at most
// maxBufferedBytes is read completely first. If its status reports a failure and
// the call may be repeated, it is stored as the fallback and an error is returned.
func (x *exchange) deliverAnswer(up core.Upstream, a Answer, wd *watchdog) error {
	head, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedBytes+1))
	wd.stop()
	if err != nil {
		return codes.Wrap(codes.UpstreamLost, err, "%s: connection lost while reading the answer", up.Name)
	}
	if len(head) > maxBufferedBytes {
		x.possibleRuns++
		if err := x.sendHead(a.Reply); err != nil {
			return err
		}
		if err := x.forward(head); err != nil {
			return err
		}
		return x.streamBody(up, a.Body, func([]byte) {})
	}
	a.Length = int64(len(head))
	buffered := &bufferedAnswer{reply: a.Reply, body: head}
	if a.Status >= minFailureStatus && x.repeatable() {
		failed := codes.New(codes.UpstreamFailed, "%s answered %d", up.Name, a.Status)
		x.fallback = buffered
		return failed
	}
	x.possibleRuns++
	return x.deliver(buffered)
}

// minFailureStatus is the lowest HTTP status that reports a failure of the
// upstream.
const minFailureStatus = 500

// selectReplica selects the replica for the next send. usual is its usual answer time,
// cost the expected one in milliseconds, and ok is false if the service has no replica.
func (x *exchange) selectReplica() (up core.Upstream, usual clock.Millis, cost float64, ok bool) {
	states, replicas := x.replicas()
	i, cost := route.LeastTime{Centre: x.relay.Centre}.Choose(replicas)
	if i < 0 {
		return core.Upstream{}, 0, 0, false
	}
	return states[i].Upstream, clock.Millis(replicas[i].Expected(route.PriorTime(replicas))), cost, true
}

// replicas returns the replicas of the request's service, as the pool has them and
// as the inputs of the choice.
func (x *exchange) replicas() ([]pool.UpstreamState, []route.Replica) {
	now := x.relay.Clock.Now()
	states := x.relay.Pool.Replicas(x.opaque.Service)
	replicas := make([]route.Replica, len(states))
	for i := range states {
		s := &states[i]
		mean, weight := s.Observed.FirstToken.Recent(now)
		replicas[i] = route.Replica{
			Name: s.Upstream.Name, Centre: s.Upstream.Centre, MeanTime: mean, Samples: weight,
			InFlight: s.Own.Requests + s.Others.Requests, Excluded: x.excluded(s.Upstream.Name),
		}
	}
	return states, replicas
}
