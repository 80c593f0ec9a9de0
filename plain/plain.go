package plain

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/pool"
)

// Services are the calls of plain services. An error with Run
// [codes.NotRun] is proof that the service didn't get the call.
type Services interface {
	Call(ctx context.Context, up core.Upstream, call core.Call, attempt core.Attempt) (core.Answer, error)
}

// Replicas is what is known of the replicas of plain services.
type Replicas interface {
	ReplicasByLoad(service string) []core.Upstream
	Begin(name string, w pool.Work)
	End(name string, w pool.Work)
}

// Orders makes calls that may not be repeated.
type Orders interface {
	Do(ctx context.Context, call core.Call) (core.Answer, error)
}

// Caller makes calls of plain services. Services and Replicas are needed, and
// Orders where there are calls with a key.
type Caller struct {
	Services Services
	Replicas Replicas
	Orders   Orders
	Clock    clock.Clock
	Meter    *meter.Set
}

// maxTries bounds the replicas that one call is tried at.
const maxTries = 3

// Call makes the call. One with a key may not be repeated and goes to Orders;
// any other is tried at one replica after another until one answers.
func (c *Caller) Call(ctx context.Context, call core.Call) (core.Answer, error) {
	if call.Key != "" {
		return c.Orders.Do(ctx, call)
	}
	ctx, cancel := c.until(ctx, call.Deadline)
	defer cancel()
	return c.try(ctx, call, retryable)
}

// Send sends a call that may not be repeated, at most once. Another replica
// is tried only on proof that the call did not reach the one before. The wait
// for the answer is bounded by ctx and not by the call's deadline.
func (c *Caller) Send(ctx context.Context, call core.Call) (core.Answer, error) {
	return c.try(ctx, call, notRun)
}

// try makes the call at one replica after another, each at most once, as long
// as again allows it and the deadline has not passed.
func (c *Caller) try(ctx context.Context, call core.Call, again func(*codes.Error) bool) (core.Answer, error) {
	ups := c.Replicas.ReplicasByLoad(call.Service)
	ups = ups[:min(len(ups), maxTries)]
	if len(ups) == 0 {
		return core.Answer{}, codes.New(codes.NoUpstream, "service %q", call.Service)
	}
	run := codes.NotRun
	for i, up := range ups {
		a, err := c.at(ctx, up, call, core.Attempt(i+1))
		if err == nil {
			return a, nil
		}
		e := codes.From(err)
		run = worse(run, e.Run)
		if i == len(ups)-1 || ctx.Err() != nil || c.past(call) || !again(e) {
			return core.Answer{}, e.WithRun(run)
		}
		c.Meter.Retried(reasonOf(e.Code))
	}
	return core.Answer{}, codes.New(codes.NoUpstream, "service %q", call.Service)
}

func (c *Caller) past(call core.Call) bool {
	return call.Deadline != 0 && c.Clock.Now() >= call.Deadline
}

// until returns a context that ends at the instant; zero is none.
func (c *Caller) until(ctx context.Context, instant clock.Millis) (context.Context, context.CancelFunc) {
	if instant == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, (instant - c.Clock.Now()).Std())
}

// notRun allows another try only on proof that nothing ran.
func notRun(e *codes.Error) bool {
	return e.Run == codes.NotRun && e.Code == codes.UpstreamRefused
}

// retryable allows another try after a failure of the replica.
func retryable(e *codes.Error) bool {
	switch e.Code {
	case codes.UpstreamLost, codes.UpstreamRefused, codes.WrongAnswer:
		return true
	}
	return false
}

// worse returns what is known of a call after two tries of it: it did not run
// only if both did not.
func worse(a, b codes.Run) codes.Run {
	if a == codes.NotRun {
		return b
	}
	return a
}

func reasonOf(c codes.Code) meter.Reason {
	if c == codes.UpstreamRefused {
		return meter.Refused
	}
	return meter.Lost
}

func (c *Caller) at(ctx context.Context, up core.Upstream, call core.Call, attempt core.Attempt) (core.Answer, error) {
	w := pool.Work{Requests: 1}
	c.Replicas.Begin(up.Name, w)
	defer c.Replicas.End(up.Name, w)
	return c.Services.Call(ctx, up, call, attempt)
}
