package relay

import (
	"bytes"
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
	"lacewinghook.example/lacewinghook/slots"
	"lacewinghook.example/lacewinghook/spool"
	"lacewinghook.example/lacewinghook/stall"
)

// MaxBufferedBytes is the largest answer that is read completely before the
// caller receives any of it, so that a truncated answer can be retried.
const MaxBufferedBytes = 64 << 10

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

// openAnswer is an answer of a replica of which the start is read. close must be called.
type openAnswer struct {
	up     core.Upstream
	answer Answer
	// head is the start, of MaxBufferedBytes+1 bytes at most, and rest what follows it and
	// found no room there.
	head *spool.Buffer
	rest []byte
	// whole is set if head holds all of the body.
	whole bool
	close func()
}

// callOnce sends the call to one replica and delivers its answer, or that of another one
// if the first is silent. If it returns an error before the head of the answer was sent,
// the caller may retry.
func (x *exchange) callOnce(ctx context.Context) error {
	if ctx.Err() != nil {
		return codes.From(ctx.Err()).WithRun(codes.NotRun)
	}
	// A slot is worth waiting for only if the call may be sent.
	if x.sends > 0 && !x.payRetries(1) {
		return x.budgetError(errBudgetSpent)
	}
	to, err := x.chooseReplica(ctx)
	if err != nil {
		return err
	}
	if err := x.checkFinishes(); err != nil {
		x.endSlot(to, slots.Unused, 0)
		return err
	}
	if err := x.chargeBudget(); err != nil {
		x.endSlot(to, slots.Unused, 0)
		return x.budgetError(err)
	}
	up := to.up
	to.sends = x.sends
	mark := x.quarantineMark()
	start := x.relay.Clock.Now()
	call, wd := x.watchCall(ctx, up, to.usual)
	defer wd.Cancel(nil)
	first, err := x.send(call, to, func() { wd.DataReceived(wd.Limit) })
	wd.Stop(err != nil && ctx.Err() == nil)
	defer x.discardSecond()
	if err == nil {
		defer first.close()
		err = x.deliverAnswer(first)
	} else if errors.Is(context.Cause(call), stall.ErrIdle) && ctx.Err() == nil {
		err = codes.Wrap(codes.UpstreamTimeout, errors.Join(stall.ErrIdle, err), "%s after %d ms", up.Name, x.relay.Clock.Now()-start)
	}
	if err != nil && !x.headSent && !x.callerGone {
		x.recordFailure(ctx, sentRequest{up: up, at: start, mark: mark}, err)
		if second := x.second; second != nil {
			x.second = nil
			defer second.close()
			return x.deliverAnswer(second)
		}
	}
	return err
}

// budgetError returns the error of a call that may not be sent again.
func (x *exchange) budgetError(err error) error {
	return codes.Wrap(codes.BudgetSpent, err, "service %q", x.opaque.Service).WithRun(codes.NotRun)
}

// send sends the call to a replica and reads the start of its answer. onData is called
// when data has arrived. It ends the slot.
func (x *exchange) send(ctx context.Context, to chosenReplica, onData func()) (*openAnswer, error) {
	up := to.up
	x.log.Info("relay: replica chosen", append(append(x.relay.replicaListFields(), zap.String("request", x.opaque.ID),
		zap.String("service", x.opaque.Service), zap.String("upstream", up.Name), zap.String("addr", up.Addr),
		zap.Float64("expected", to.cost), zap.Int("sends", to.sends), zap.Int64("since", int64(x.relay.Clock.Now()-x.request.Arrived))),
		to.slotFields()...)...)
	w := pool.Work{Requests: 1}
	x.relay.Pool.Begin(up.Name, w)
	start := x.relay.Clock.Now()
	a, err := x.relay.Upstreams.Send(ctx, up, SendRequest{Request: x.request, Finish: !x.repeatable()})
	took := x.relay.Clock.Now() - start
	if err != nil {
		x.relay.Pool.End(up.Name, w)
		x.endSlot(to, failedOutcome(ctx, err), took)
		return nil, err
	}
	x.relay.markReachable(up)
	x.relay.Pool.ObserveFirstToken(up.Name, took)
	open := &openAnswer{up: up, answer: a, head: &spool.Buffer{Pool: x.relay.Kept, Lasting: true}}
	ended := false
	endSlot := func() {
		if !ended {
			ended = true
			x.endSlot(to, answeredOutcome(a.Status), took)
		}
	}
	open.close = func() {
		// An error is of no interest: the answer is no longer needed.
		_ = a.Body.Close()
		open.head.Reset()
		x.relay.Pool.End(up.Name, w)
		endSlot()
	}
	err = readParts(up, io.LimitReader(a.Body, MaxBufferedBytes+1), func(p []byte) error {
		onData()
		before := open.head.Len()
		err := open.head.Write(p)
		if err != nil {
			open.rest = bytes.Clone(p[open.head.Len()-before:])
		}
		return err
	})
	// Without room the answer is forwarded from here on as it arrives.
	full := errors.Is(err, spool.ErrFull)
	if err != nil && !full {
		open.close()
		return nil, codes.From(err).WithRun(codes.Unknown)
	}
	if open.whole = !full && open.head.Len() <= MaxBufferedBytes; open.whole {
		// The caller may take long to read it.
		endSlot()
	}
	if open.whole && !a.UntilClose {
		x.reportCompleted()
	}
	return open, nil
}

// discardSecond closes an answer that isn't delivered. Its replica has run the request.
func (x *exchange) discardSecond() {
	if x.second != nil {
		x.second.close()
		x.second = nil
		x.possibleRuns++
	}
}

// secureAnswer sends the call to another replica than the silent one, and returns true if
// it has answered. ctx is that of the request, search that of the search.
func (x *exchange) secureAnswer(ctx, search context.Context, silent core.Upstream) bool {
	if x.timeLeft() < minTimeLeft || x.runsLeft() <= 1 || !x.refusalsLeft(x.sends) {
		return false
	}
	to, ok := x.chooseOther(search, silent.Name)
	if !ok {
		return false
	}
	up := to.up
	if up.Name == silent.Name || x.excluded(up.Name) || search.Err() != nil || x.chargeBudget() != nil {
		x.endSlot(to, slots.Unused, 0)
		return false
	}
	// The answer outlives the search.
	call, cancel := context.WithCancel(ctx)
	keep := context.AfterFunc(search, cancel)
	mark := x.quarantineMark()
	start := x.relay.Clock.Now()
	to.sends = x.sends
	second, err := x.send(call, to, func() {})
	switch {
	case err != nil:
		cancel()
		switch {
		case search.Err() == nil:
			x.recordFailure(ctx, sentRequest{up: up, at: start, mark: mark}, err)
		case codes.From(err).Run != codes.NotRun:
			// The silent replica has answered meanwhile, but this one may run the request.
			x.possibleRuns++
		}
		return false
	case x.isFailure(second):
		cancel()
		second.close()
		x.recordFailure(ctx, sentRequest{up: up, at: start, mark: mark, answered: true}, x.keepFallback(second))
		return false
	case !keep():
		second.close()
		x.possibleRuns++
		return false
	}
	closeAnswer := second.close
	second.close = func() { closeAnswer(); cancel() }
	x.second = second
	return true
}

// Parameters of the silence after which a call is sent to another replica as well: the
// largest of sendTimeoutFactor times the replica's usual answer time, sendTimeoutTargets
// times the latency target, and minSendTimeout. After a shorter one the answer of the
// other replica would arrive no earlier.
const (
	sendTimeoutFactor               = 6
	sendTimeoutTargets              = 2
	minSendTimeout     clock.Millis = 400
)

// watchCall returns a context for one send, and its watchdog, which abandons the replica
// once another one has answered. A call that may not be sent again isn't watched. usual
// is the replica's usual answer time.
func (x *exchange) watchCall(ctx context.Context, up core.Upstream, usual clock.Millis) (context.Context, *stall.Watchdog) {
	call, cancel := context.WithCancelCause(ctx)
	if !x.repeatable() || x.runsLeft() <= 1 {
		return call, &stall.Watchdog{Cancel: cancel}
	}
	w := &stall.Watchdog{
		Clock: x.relay.Clock, Limit: max(usual*sendTimeoutFactor, x.request.Profile.FirstToken*sendTimeoutTargets, minSendTimeout),
		Secure:   func(search context.Context) bool { return x.secureAnswer(ctx, search, up) },
		Unsecure: x.discardSecond, Cancel: cancel, Log: x.log,
	}
	w.Start(ctx)
	return call, w
}

// isFailure reports whether an answer is a failure after which the call may be sent
// again.
func (x *exchange) isFailure(a *openAnswer) bool {
	return a.answer.Status >= minFailureStatus && a.whole && x.repeatable()
}

// keepFallback stores a failure, to be delivered if no other answer is received, and
// returns its error.
func (x *exchange) keepFallback(a *openAnswer) error {
	x.dropFallback()
	x.fallback = a.buffered()
	// It is kept when a is closed.
	a.head = &spool.Buffer{}
	return codes.New(codes.UpstreamFailed, "%s answered %d", a.up.Name, a.answer.Status)
}

// buffered returns an answer that is whole.
func (a *openAnswer) buffered() *bufferedAnswer {
	a.answer.Length = int64(a.head.Len())
	return &bufferedAnswer{reply: a.answer.Reply, body: a.head}
}

// dropFallback frees the memory of the fallback.
func (x *exchange) dropFallback() {
	if x.fallback != nil {
		x.fallback.body.Reset()
		x.fallback = nil
	}
}

// deliverAnswer delivers a replica's answer. If its status reports a failure and the call
// may be repeated, it is stored as the fallback and an error is returned.
func (x *exchange) deliverAnswer(a *openAnswer) error {
	if x.isFailure(a) {
		return x.keepFallback(a)
	}
	x.possibleRuns++
	if a.whole {
		x.relay.endless.Forget(a.up.Name)
		return x.deliver(a.buffered())
	}
	read := a.head.Len() + len(a.rest)
	if err := x.deliver(&bufferedAnswer{reply: a.answer.Reply, body: a.head}); err != nil {
		return err
	}
	a.head.Reset()
	if len(a.rest) > 0 {
		if err := x.forward(a.rest); err != nil {
			return err
		}
		a.rest = nil
	}
	err := x.streamBody(a.up, a.answer.Body, x.checkLength(a.up, read))
	x.reportEndless(a.up, err)
	if err == nil && !a.answer.UntilClose {
		x.reportCompleted()
	}
	return err
}

// minFailureStatus is the lowest HTTP status that reports a failure of the
// upstream.
const minFailureStatus = 500

// selectReplica selects the replica for the next send by the counts of this entry, not
// silent if there is another. ok is false if the service has no replica.
func (x *exchange) selectReplica(silent string) (to chosenReplica, ok bool) {
	states, replicas := x.replicas()
	for i := range replicas {
		replicas[i].Excluded = replicas[i].Excluded || replicas[i].Name == silent
	}
	i, cost := route.LeastTime{Centre: x.relay.Centre}.Choose(replicas)
	if i < 0 {
		return chosenReplica{}, false
	}
	usual := clock.Millis(replicas[i].Expected(route.PriorTime(replicas)))
	return chosenReplica{up: states[i].Upstream, usual: usual, cost: cost}, true
}

// replicas returns the replicas of the request's service that aren't barred, as the
// pool has them and as the inputs of the choice.
func (x *exchange) replicas() ([]pool.UpstreamState, []route.Replica) {
	now := x.relay.Clock.Now()
	states := x.relay.Pool.Replicas(x.opaque.Service)
	replicas := make([]route.Replica, 0, len(states))
	states = slices.DeleteFunc(states, func(s pool.UpstreamState) bool {
		n := x.relay.notice(s.Upstream.Name)
		if n.Barred {
			return true
		}
		mean, weight := s.Observed.FirstToken.Recent(now)
		replicas = append(replicas, route.Replica{
			Name: s.Upstream.Name, Centre: s.Upstream.Centre, MeanTime: mean, Samples: weight,
			InFlight: s.Own.Requests + s.Others.Requests, Leaving: n.Leaving, Excluded: x.excluded(s.Upstream.Name),
		})
		return false
	})
	return states, replicas
}
