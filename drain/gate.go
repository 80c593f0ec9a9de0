package drain

import (
	"context"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/shard"
)

// Gate is asked right before work is sent to an upstream. Where work runs is
// decided before: a prompt may be computed for seconds between the choice of a
// decode engine and the call, and the process may be frozen. Book and Stale
// are needed.
type Gate struct {
	Book *Book
	// Stale reports whether this entry has had no sign of being up to date
	// for long.
	Stale func() bool
	Clock clock.Clock
	Log   *zap.Logger
	Meter *meter.Set

	// since has the instant since when each drained upstream is.
	since shard.Map[string, clock.Millis]
}

const (
	// gateGrace is how long work that was placed before an upstream was
	// drained may still be sent there. With the time that a drain takes to
	// arrive it stays below the 3 s within which new work ends.
	gateGrace = 1 * clock.Second
	// refreshTimeout bounds the look at the drains before work is sent by an
	// entry that may have been frozen.
	refreshTimeout = 500 * clock.Millis(1)
)

// Note takes over whether an upstream is drained.
func (g *Gate) Note(upstream string, drained bool) {
	g.since.Update(upstream, func(since clock.Millis, was bool) (clock.Millis, bool) {
		if !was {
			since = g.Clock.Now()
		}
		return since, drained
	})
}

// Open returns an error, which is proof that nothing ran, if the upstream has
// been drained for longer than the grace. An entry that has had no sign of
// being up to date looks at the drains first, and knows no grace: the drain
// may be as old as its last sign.
func (g *Gate) Open(ctx context.Context, upstream string) error {
	stale := g.Stale()
	if stale {
		g.refresh(ctx)
	}
	since, drained := g.since.Get(upstream)
	if !drained || !stale && g.Clock.Now()-since <= gateGrace {
		return nil
	}
	g.Meter.Add("drained_refusals_total", 1)
	return codes.New(codes.UpstreamRefused, "%s is drained", upstream)
}

func (g *Gate) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout.Std())
	defer cancel()
	if err := g.Book.Refresh(ctx); err != nil {
		g.Log.Warn("drain: the drains can't be read", zap.Error(err))
	}
}
