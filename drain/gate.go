package drain

import (
	"context"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/shard"
)

// Gate checks whether an upstream is drained right before work is sent to it.
// The upstream was selected earlier: between the selection of a decode engine
// and the call, the prefill may take seconds, and the process may be paused.
// The fields Active and Stale are required.
type Gate struct {
	Active *ActiveDrains
	// Stale reports whether the last confirmation that this entry is up to
	// date is too old.
	Stale func() bool
	Clock clock.Clock
	Log   *zap.Logger
	Meter *meter.Registry

	// drainedSince maps each drained upstream to the instant at which this
	// entry received its drain.
	drainedSince shard.Map[string, clock.Millis]
}

// Times of the check.
const (
	// drainGrace is how long work that was assigned to an upstream before its
	// drain may still be sent to it. Together with the propagation time of a
	// drain, it is shorter than the 3 s after which a drained upstream must
	// receive no new work.
	drainGrace = 1 * clock.Second
	// refreshTimeout limits the time for reading the drains before a stale
	// entry, which may have been paused, sends work.
	refreshTimeout = 500 * clock.Millis(1)
)

// SetDrained records whether an upstream is drained.
func (g *Gate) SetDrained(upstream string, drained bool) {
	g.drainedSince.Update(upstream, func(since clock.Millis, was bool) (clock.Millis, bool) {
		if !was {
			since = g.Clock.Now()
		}
		return since, drained
	})
}

// Check returns an error if the upstream has been drained for longer than
// drainGrace. The error guarantees that nothing ran. A stale entry reads the
// drains first and applies no grace period, since the drain may have been set
// at any time since the entry was last up to date.
func (g *Gate) Check(ctx context.Context, upstream string) error {
	stale := g.Stale()
	if stale {
		g.refresh(ctx)
	}
	since, drained := g.drainedSince.Get(upstream)
	if !drained || !stale && g.Clock.Now()-since <= drainGrace {
		return nil
	}
	g.Meter.Add("drained_refusals_total", 1)
	return codes.New(codes.UpstreamRefused, "%s is drained", upstream)
}

// refresh reads the drains, within refreshTimeout. If that fails, the known
// drains are used.
func (g *Gate) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout.Duration())
	defer cancel()
	if err := g.Active.Refresh(ctx); err != nil {
		g.Log.Warn("drain: reading the drains failed", zap.Error(err))
	}
}
