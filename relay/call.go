package relay

import (
	"context"
	"io"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pool"
)

// maxHeld is the largest answer that is read to its end before the caller
// gets any of it, so that one that is cut short can be replaced.
const maxHeld = 64 << 10

// call carries out a call of a plain service.
func (l *life) call(ctx context.Context) error {
	for {
		err := l.callOnce(ctx)
		if err == nil || l.begun {
			return err
		}
		if !l.again(ctx, err) {
			if l.fallback != nil && !l.gone {
				return l.deliver(l.fallback)
			}
			return err
		}
	}
}

// callOnce sends the call to one replica and delivers its answer. An error
// without a begun answer leaves it open whether another replica is tried.
func (l *life) callOnce(ctx context.Context) error {
	up, cost, ok := l.replica()
	if !ok {
		return codes.New(codes.NoUpstream, "service %q", l.opaque.Service)
	}
	if err := l.spend(); err != nil {
		return codes.Wrap(codes.BudgetSpent, err, "service %q", l.opaque.Service).WithRun(codes.NotRun)
	}
	l.log.Info("relay: replica chosen", append(l.relay.fleet(), zap.String("request", l.opaque.ID),
		zap.String("service", l.opaque.Service), zap.String("upstream", up.Name), zap.String("addr", up.Addr),
		zap.Float64("expected", cost), zap.Int("sends", l.sends))...)
	w := pool.Work{Requests: 1}
	l.relay.Pool.Begin(up.Name, w)
	defer l.relay.Pool.End(up.Name, w)
	start := l.relay.Clock.Now()
	call, cancel := l.patience(ctx, up)
	defer cancel()
	a, err := l.relay.Upstreams.Send(call, up, Send{Request: l.request})
	if err == nil {
		defer a.Body.Close()
		l.relay.reached(up)
		l.relay.Pool.First(up.Name, l.relay.Clock.Now()-start)
		err = l.answer(call, up, a)
	}
	if err != nil && errors.Is(context.Cause(call), errSilent) && ctx.Err() == nil {
		err = codes.Wrap(codes.UpstreamTimeout, errors.Join(errSilent, err), "%s after %d ms", up.Name, l.relay.Clock.Now()-start)
	}
	if err != nil && !l.begun && !l.gone {
		l.lost(ctx, up, start, err)
	}
	return err
}

// Bounds of the wait for a replica's answer to a call that may be sent to
// another one: several times what is usual there, and longer than the target,
// so that a slow answer is not given up for one that comes no earlier.
const (
	patienceFactor               = 6
	patienceTargets              = 2
	patienceLeast   clock.Millis = 400
)

// patience bounds the wait for one replica, where another may be tried after
// it.
func (l *life) patience(ctx context.Context, up core.Upstream) (context.Context, context.CancelFunc) {
	if !l.repeatable() || l.runs >= l.opaque.Route.Profile.Retries {
		return context.WithCancel(ctx)
	}
	s, _ := l.relay.Pool.Get(up.Name)
	usual := clock.Millis(s.Seen.First.Expect(l.relay.Clock.Now(), usualCall))
	limit := max(usual*patienceFactor, l.request.Profile.FirstToken*patienceTargets, patienceLeast)
	return context.WithTimeoutCause(ctx, limit.Std(), errSilent)
}

// answer delivers the answer of a replica. A short one is read whole first.
func (l *life) answer(ctx context.Context, up core.Upstream, a Answer) error {
	head, err := io.ReadAll(io.LimitReader(a.Body, maxHeld+1))
	if err != nil {
		return codes.Wrap(codes.UpstreamLost, err, "%s, in the middle of the answer", up.Name)
	}
	if len(head) > maxHeld {
		l.runs++
		if err := l.begin(a.Reply); err != nil {
			return err
		}
		if err := l.forward(head); err != nil {
			return err
		}
		return l.stream(up, a.Body, func([]byte) {})
	}
	a.Length = int64(len(head))
	got := &whole{reply: a.Reply, body: head}
	if a.Status >= failedFrom && l.repeatable() {
		failed := codes.New(codes.UpstreamFailed, "%s answered %d", up.Name, a.Status)
		l.fallback = got
		return failed
	}
	l.runs++
	return l.deliver(got)
}

// failedFrom is the least status by which an upstream says that it failed.
const failedFrom = 500

// replica chooses a replica of the service: the one with the least work by
// its usual time, in this data centre where others are no better. least is the
// weight by which it was chosen.
func (l *life) replica() (best core.Upstream, least float64, found bool) {
	for _, s := range l.relay.Pool.Replicas(l.opaque.Service) {
		cost := l.callCost(&s)
		if !found || cost < least {
			best, least, found = s.Upstream, cost, true
		}
	}
	return best, least, found
}

// Weights of the choice of a replica, in milliseconds.
const (
	// usualCall stands for a replica's time while little is known.
	usualCall = 60.0
	// farCall is the way to another data centre and back, and what the bytes
	// between data centres cost.
	farCall = 15.0
	// failedCall moves a replica to avoid behind all others.
	failedCall = 1e6
)

func (l *life) callCost(s *pool.State) float64 {
	mean := s.Seen.First.Expect(l.relay.Clock.Now(), usualCall)
	cost := mean * float64(1+s.Own.Requests+s.Others.Requests)
	if s.Upstream.Centre != l.relay.Centre {
		cost += farCall
	}
	if l.avoid(s.Upstream.Name) {
		cost += failedCall
	}
	return cost
}
