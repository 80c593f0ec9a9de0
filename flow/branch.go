package flow

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/sched"
)

// branch is one pass of a request through prefill, transfer and decode. A hedged
// request runs two branches in parallel.
type branch struct {
	execution *execution
	try       core.Try
	// placement is the current placement, guarded by execution.mu.
	placement *sched.Placement
	// stop cancels the branch with a cause.
	stop context.CancelCauseFunc
	// leave lets other suspects run at the upstreams again.
	leave func()
	// admittedAt is the time at which the run was admitted to its upstreams, zero
	// if another call admitted it.
	admittedAt clock.Millis
	// decodeStart is the time of the last decode call. transferred is set once
	// the decode upstream holds the KV cache, and gotToken at its first token.
	decodeStart           clock.Millis
	transferred, gotToken bool
	// redirected is set once the export is sent to a second decode upstream.
	redirected bool
}

var (
	errTransferStalled = errors.New("KV cache transfer timed out")
	errOtherAnswered   = errors.New("another hedged attempt answered first")
)

// newBranch returns a branch that continues after the last token sent to the
// caller, or nil if another branch has begun to answer.
func (e *execution) newBranch() *branch {
	attempt := e.nextAttempt()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.winner != nil {
		return nil
	}
	b := &branch{execution: e, stop: func(error) {}, try: core.Try{
		Request: e.request, Attempt: attempt, SentText: string(e.prior), SentTokens: e.sent,
	}}
	e.branches = append(e.branches, b)
	return b
}

// run places the branch and runs it to the end of the answer. It avoids the
// upstreams that failed this request and fails rather than use one in avoid.
func (b *branch) run(ctx context.Context, avoid ...string) error {
	p, err := b.execution.flow.Placer.Place(ctx, sched.Query{Try: b.try, Failed: b.execution.excluded(avoid...)})
	if err != nil {
		return err
	}
	if slices.Contains(avoid, p.Prefill.Name) || slices.Contains(avoid, p.Decode.Name) {
		err := codes.New(codes.NoUpstream, "no other pair of upstreams for the hedge")
		b.execution.flow.Placer.Release(p, err)
		return err
	}
	b.setPlacement(p)
	if err := b.isolateSuspect(ctx, p.Prefill.Name, p.Decode.Name); err != nil {
		b.execution.flow.Placer.Release(p, err)
		return err
	}
	defer func() { b.leave() }()
	x, err := b.prefill(ctx, p)
	if err != nil {
		b.execution.flow.Placer.Release(p, err)
		return err
	}
	return b.decodeWithRedirect(ctx, p, x)
}

// setPlacement records the current placement for upstreamNames.
func (b *branch) setPlacement(p *sched.Placement) {
	b.execution.mu.Lock()
	defer b.execution.mu.Unlock()
	b.placement = p
}

// isolateSuspect waits until the request may run at the upstreams without another
// suspect, if it is a suspect itself. It sets leave, which ends the isolation.
func (b *branch) isolateSuspect(ctx context.Context, upstreams ...string) error {
	b.admittedAt, b.leave = b.execution.flow.Clock.Now(), func() {}
	s := b.execution.flow.Quarantine
	if s == nil {
		return nil
	}
	leave, err := s.Isolate(ctx, b.execution.request.Digest, upstreams...)
	if err == nil {
		b.leave = leave
	}
	return err
}

// prefill computes the KV cache. After a failure it cancels the prefill, counts
// the wasted tokens and excludes the upstream for this request.
func (b *branch) prefill(ctx context.Context, p *sched.Placement) (core.Export, error) {
	e := b.execution
	start := e.flow.Clock.Now()
	boot := e.lastBoot(p.Prefill)
	x, err := e.flow.Engines.Prefill(ctx, p.Prefill, b.try)
	e.flow.Placer.PrefillDone(p, e.flow.Clock.Now()-start, err)
	if provesNotRun(err) {
		e.addFailed(p.Prefill)
		return x, err
	}
	e.markRun()
	if err == nil {
		return x, nil
	}
	e.handOverCancel(p.Prefill, b.try.Attempt, err)
	e.flow.Meter.CountWastedPrefill(wasteReason(ctx, err), p.Tokens)
	if ctx.Err() == nil {
		e.addFailed(p.Prefill)
		b.reportFailure(ctx, p.Prefill, boot, err)
	}
	return x, err
}

// decodeWithRedirect decodes the export and forwards the answer. If the transfer
// fails before the export expires, it tries one other decode upstream. If both
// fail, the export is the likely cause, so the prefill upstream is excluded too.
func (b *branch) decodeWithRedirect(ctx context.Context, p *sched.Placement, x core.Export) error {
	e := b.execution
	prefill := p.Prefill
	for {
		err := b.decode(ctx, p, x)
		e.flow.Placer.Release(p, err)
		if err == nil || b.transferred {
			return err
		}
		if b.redirected && ctx.Err() == nil {
			e.addFailed(prefill)
		}
		if b.redirected || !e.canRedirect(ctx, err, x) {
			return b.discardExport(ctx, prefill, x, err)
		}
		e.flow.Meter.CountRetry(meter.ReasonOf(codes.From(err).Code))
		next := b.try
		next.Attempt = e.nextAttempt()
		var refused error
		p, refused = e.flow.Placer.Place(ctx, sched.Query{Try: next, Failed: e.excluded(), Export: &x})
		if refused != nil {
			return b.discardExport(ctx, prefill, x, err)
		}
		b.try, b.redirected = next, true
		b.setPlacement(p)
		// The failure may have made the request a suspect. It must not wait for
		// the new upstream while it holds the old ones.
		b.leave()
		if refused = b.isolateSuspect(ctx, p.Decode.Name); refused != nil {
			e.flow.Placer.Release(p, refused)
			return b.discardExport(ctx, prefill, x, err)
		}
	}
}

// canRedirect reports whether the export may be sent to another decode upstream
// after err.
func (e *execution) canRedirect(ctx context.Context, err error, x core.Export) bool {
	return ctx.Err() == nil && retryable(err) && !codes.Has(err, codes.ExportExpired) &&
		e.flow.Clock.Now() < x.Expires && !e.attemptsExhausted()
}

// discardExport frees an export that no decode upstream has fetched and counts its
// tokens as wasted. It returns err.
func (b *branch) discardExport(ctx context.Context, from core.Upstream, x core.Export, err error) error {
	b.execution.flow.Cancels.Add(core.Cancel{
		Upstream: from, ID: b.execution.request.ID, Attempt: b.try.Attempt, Answered: true,
	})
	b.execution.flow.Meter.CountWastedPrefill(wasteReason(ctx, err), x.Tokens)
	return err
}

// wasteReason returns the reason label under which wasted prefill tokens are
// counted.
func wasteReason(ctx context.Context, err error) meter.Reason {
	if errors.Is(context.Cause(ctx), errOtherAnswered) {
		return meter.Straggler
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return meter.CallerGone
	}
	return meter.ReasonOf(codes.From(err).Code)
}
