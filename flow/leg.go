package flow

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/place"
)

// leg is one way of a request through prefill, transfer and decode.
type leg struct {
	life *life
	try  core.Try
	// at is where the leg is placed, guarded by the life's lock.
	at *place.Placement
	// stop ends the leg with a cause.
	stop context.CancelCauseFunc
	// start is the instant at which the decode upstream was called, arrived
	// says that it has the KV cache, and heard that it gave a token.
	start          clock.Millis
	arrived, heard bool
	// moved says that an earlier decode upstream failed to take the export.
	moved bool
}

var (
	errStalled = errors.New("the transfer stalled")
	errLost    = errors.New("another attempt answers")
)

// begin returns a leg from the token that the caller has last, or nil if
// another leg has begun to answer.
func (l *life) begin() *leg {
	attempt := l.next()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.speaker != nil {
		return nil
	}
	g := &leg{life: l, stop: func(error) {}, try: core.Try{
		Request: l.request, Attempt: attempt, Prior: string(l.prior), Sent: l.sent,
	}}
	l.legs = append(l.legs, g)
	return g
}

// run goes the whole way, avoiding the upstreams named and those that failed.
func (g *leg) run(ctx context.Context, avoid ...string) error {
	p, err := g.life.flow.Placer.Place(ctx, place.Query{Try: g.try, Failed: g.life.avoided(avoid...)})
	if err != nil {
		return err
	}
	if slices.Contains(avoid, p.Prefill.Name) || slices.Contains(avoid, p.Decode.Name) {
		err := codes.New(codes.NoUpstream, "no second pair of upstreams")
		g.life.flow.Placer.Release(p, err)
		return err
	}
	g.place(p)
	leave, err := g.enter(ctx, p)
	if err != nil {
		g.life.flow.Placer.Release(p, err)
		return err
	}
	defer leave()
	x, err := g.prefill(ctx, p)
	if err != nil {
		g.life.flow.Placer.Release(p, err)
		return err
	}
	return g.deliver(ctx, p, x)
}

func (g *leg) place(p *place.Placement) {
	g.life.mu.Lock()
	defer g.life.mu.Unlock()
	g.at = p
}

// enter keeps suspects apart.
func (g *leg) enter(ctx context.Context, p *place.Placement) (leave func(), err error) {
	if s := g.life.flow.Suspects; s != nil {
		return s.Enter(ctx, g.life.request.Digest, p.Prefill.Name, p.Decode.Name)
	}
	return func() {}, nil
}

func (g *leg) prefill(ctx context.Context, p *place.Placement) (core.Export, error) {
	l := g.life
	start := l.flow.Clock.Now()
	boot := l.boot(p.Prefill)
	x, err := l.flow.Engines.Prefill(ctx, p.Prefill, g.try)
	l.flow.Placer.Prefilled(p, l.flow.Clock.Now()-start, err)
	if neverRan(err) {
		l.fail(p.Prefill)
		return x, err
	}
	l.touched()
	if err == nil {
		return x, nil
	}
	l.cancel(p.Prefill, g.try.Attempt, err)
	l.flow.Meter.Wasted(wasteOf(ctx, err), p.Tokens)
	if ctx.Err() == nil {
		l.fail(p.Prefill)
		l.broke(ctx, p.Prefill, boot, start, err)
	}
	return x, err
}

// deliver hands the export to a decode upstream, and to one other if that
// fails while the export lives. If both fail, the export is likely at fault.
func (g *leg) deliver(ctx context.Context, p *place.Placement, x core.Export) error {
	l := g.life
	from := p.Prefill
	for {
		err := g.decode(ctx, p, x)
		l.flow.Placer.Release(p, err)
		if err == nil || g.arrived {
			return err
		}
		if g.moved && ctx.Err() == nil {
			l.fail(from)
		}
		if g.moved || !l.movable(ctx, err, x) {
			return g.discard(ctx, from, x, err)
		}
		l.flow.Meter.Retried(meter.ReasonOf(codes.From(err).Code))
		next := g.try
		next.Attempt = l.next()
		var refused error
		p, refused = l.flow.Placer.Place(ctx, place.Query{Try: next, Failed: l.avoided(), Export: &x})
		if refused != nil {
			return g.discard(ctx, from, x, err)
		}
		g.try, g.moved = next, true
		g.place(p)
	}
}

// movable reports whether the export may still reach another upstream.
func (l *life) movable(ctx context.Context, err error, x core.Export) bool {
	return ctx.Err() == nil && mayRetry(err) && !codes.Has(err, codes.ExportExpired) &&
		l.flow.Clock.Now() < x.Expires && !l.exhausted()
}

// discard frees an export that no decode upstream took and counts it.
func (g *leg) discard(ctx context.Context, from core.Upstream, x core.Export, err error) error {
	g.life.flow.Cancels.Add(core.Cancel{
		Upstream: from, ID: g.life.request.ID, Attempt: g.try.Attempt, Answered: true,
	})
	g.life.flow.Meter.Wasted(wasteOf(ctx, err), x.Tokens)
	return err
}

// wasteOf names why computed tokens were not used.
func wasteOf(ctx context.Context, err error) meter.Reason {
	if errors.Is(context.Cause(ctx), errLost) {
		return meter.Straggler
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return meter.CallerGone
	}
	return meter.ReasonOf(codes.From(err).Code)
}
