package plain

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/pool"
)

// Services sends calls to replicas of plain services. An error with Run
// [codes.NotRun] proves that the replica didn't receive the call.
type Services interface {
	Call(ctx context.Context, up core.Upstream, call core.Call, attempt core.Attempt) (core.Answer, error)
}

// Replicas returns the replicas of a service in the order in which to try them,
// and counts the calls in flight at each.
type Replicas interface {
	ReplicasByLoad(service string) []core.Upstream
	Begin(name string, w pool.Work)
	End(name string, w pool.Work)
}

// Orders runs calls that must not be repeated.
type Orders interface {
	Do(ctx context.Context, call core.Call) (core.Answer, error)
}

// Caller calls plain services. Services and Replicas are required. Orders is
// required for calls with an idempotency key.
type Caller struct {
	Services Services
	Replicas Replicas
	Orders   Orders
	Clock    clock.Clock
	Meter    *meter.Registry
}

// maxAttempts is the maximum number of replicas tried for one call.
const maxAttempts = 3

// Call runs a call. A call with an idempotency key must not be repeated and goes
// to Orders. Any other call is tried at up to maxAttempts replicas until one
// answers.
func (c *Caller) Call(ctx context.Context, call core.Call) (core.Answer, error) {
	if call.IdempotencyKey != "" {
		return c.Orders.Do(ctx, call)
	}
	ctx, cancel := c.withDeadline(ctx, call.Deadline)
	defer cancel()
	return c.try(ctx, call, retryRepeatable)
}

// Send runs a call that must not be repeated, at most once: it tries another
// replica only with proof that the previous one didn't receive the call. The
// wait for the answer is limited by ctx, not by the call's deadline.
func (c *Caller) Send(ctx context.Context, call core.Call) (core.Answer, error) {
	return c.try(ctx, call, retryNotRun)
}

// try tries the call at one replica after another, at each at most once, while
// retry permits it and the deadline hasn't passed. The Run of an error covers
// all attempts.
func (c *Caller) try(ctx context.Context, call core.Call, retry func(*codes.Error) bool) (core.Answer, error) {
	replicas := c.Replicas.ReplicasByLoad(call.Service)
	replicas = replicas[:min(len(replicas), maxAttempts)]
	if len(replicas) == 0 {
		return core.Answer{}, codes.New(codes.NoUpstream, "service %q", call.Service)
	}
	run := codes.NotRun
	for i, up := range replicas {
		answer, err := c.attempt(ctx, up, call, core.Attempt(i+1))
		if err == nil {
			return answer, nil
		}
		e := codes.From(err)
		run = combineRuns(run, e.Run)
		if i == len(replicas)-1 || ctx.Err() != nil || c.deadlinePassed(call) || !retry(e) {
			return core.Answer{}, e.WithRun(run)
		}
		c.Meter.CountRetry(retryReason(e.Code))
	}
	return core.Answer{}, codes.New(codes.NoUpstream, "service %q", call.Service)
}

// deadlinePassed reports whether the call has a deadline that has passed.
func (c *Caller) deadlinePassed(call core.Call) bool {
	return call.Deadline != 0 && c.Clock.Now() >= call.Deadline
}

// withDeadline returns a context that ends at the instant. Zero means no
// deadline.
func (c *Caller) withDeadline(ctx context.Context, instant clock.Millis) (context.Context, context.CancelFunc) {
	if instant == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, (instant - c.Clock.Now()).Duration())
}

// retryNotRun permits a retry only with proof that nothing ran.
func retryNotRun(e *codes.Error) bool {
	return e.Run == codes.NotRun && e.Code == codes.UpstreamRefused
}

// retryRepeatable permits a retry after any failure of the replica.
func retryRepeatable(e *codes.Error) bool {
	switch e.Code {
	case codes.UpstreamLost, codes.UpstreamRefused, codes.WrongAnswer:
		return true
	}
	return false
}

// combineRuns returns the outcome of a call with two attempts whose outcomes are
// a and b. It is NotRun only if both are.
func combineRuns(a, b codes.Run) codes.Run {
	if a == codes.NotRun {
		return b
	}
	return a
}

// retryReason returns the metric label for a retry after an error.
func retryReason(c codes.Code) meter.Reason {
	if c == codes.UpstreamRefused {
		return meter.Refused
	}
	return meter.Lost
}

// attempt sends the call to one replica and counts it as in flight there.
func (c *Caller) attempt(ctx context.Context, up core.Upstream, call core.Call, attempt core.Attempt) (core.Answer, error) {
	w := pool.Work{Requests: 1}
	c.Replicas.Begin(up.Name, w)
	defer c.Replicas.End(up.Name, w)
	return c.Services.Call(ctx, up, call, attempt)
}
