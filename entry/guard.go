package entry

import (
	"context"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/engine"
)

// drainGrace is how long work that was placed before an upstream was drained
// may still be sent there. With the time that a drain takes to arrive it stays
// below the 3 s within which new work ends.
const drainGrace = 1 * clock.Second

// guarded sends work to upstreams, but none to one that is drained. Where
// work runs is decided before: a prompt may be computed for seconds between
// the choice of a decode engine and the call, and the process may be frozen.
type guarded struct {
	*engine.Client
	entry *Entry
}

// Prefill implements [flow.Engines].
func (g guarded) Prefill(ctx context.Context, up core.Upstream, try core.Try) (core.Export, error) {
	if err := g.entry.open(ctx, up); err != nil {
		return core.Export{}, err
	}
	return g.Client.Prefill(ctx, up, try)
}

// Decode implements [flow.Engines].
func (g guarded) Decode(ctx context.Context, up core.Upstream, try core.Try, x core.Export, arrived func(), each func(core.Token) error) error {
	if err := g.entry.open(ctx, up); err != nil {
		return err
	}
	return g.Client.Decode(ctx, up, try, x, arrived, each)
}

// Call implements [flow.Services].
func (g guarded) Call(ctx context.Context, up core.Upstream, call core.Call, attempt core.Attempt) (core.Answer, error) {
	if err := g.entry.open(ctx, up); err != nil {
		return core.Answer{}, err
	}
	return g.Client.Call(ctx, up, call, attempt)
}

// refreshTimeout bounds the look at the drains before work is sent by an entry
// that may have been frozen.
const refreshTimeout = 500 * clock.Millis(1)

// open returns an error, which is proof that nothing ran, if the upstream has
// been drained for longer than the grace. An entry that has had no sign of
// being up to date looks at the drains first, and knows no grace: the drain
// may be as old as its last sign.
func (e *Entry) open(ctx context.Context, up core.Upstream) error {
	stale := e.members.CutOff()
	if stale {
		ctx, cancel := context.WithTimeout(ctx, refreshTimeout.Std())
		defer cancel()
		if err := e.drains.Refresh(ctx); err != nil {
			e.Log.Warn("entry: the drains can't be read", zap.Error(err))
		}
	}
	since, drained := e.drainedAt.Get(up.Name)
	if !drained || !stale && e.Clock.Now()-since <= drainGrace {
		return nil
	}
	e.meter.Add("drained_refusals_total", 1)
	return codes.New(codes.UpstreamRefused, "%s is drained", up.Name)
}

// noteDrain keeps the instant since when an upstream is drained.
func (e *Entry) noteDrain(name string, drained bool) {
	e.drainedAt.Update(name, func(since clock.Millis, was bool) (clock.Millis, bool) {
		if !was {
			since = e.Clock.Now()
		}
		return since, drained
	})
}
