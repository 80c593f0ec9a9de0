package sweep

import (
	"context"

	"golang.org/x/sync/errgroup"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/shard"
)

// Owners tells what is known of a run of an entry. It says [core.Dead] only
// of one that is surely dead.
type Owners interface {
	Owner(o core.Owner) core.State
}

// Homes tells whether this entry looks after an upstream. Two entries may both
// do so for a moment, which does no harm.
type Homes interface {
	Home(upstream string) bool
}

// Upstreams lists the published upstreams.
type Upstreams interface {
	Names() []string
	Upstream(name string) (core.Upstream, bool)
}

// Engines is the call of model engines that sweeping needs.
type Engines interface {
	Running(ctx context.Context, up core.Upstream) ([]core.Running, error)
}

// Canceller takes charge of cancels until they are confirmed.
type Canceller interface {
	Add(c core.Cancel)
}

// Sweeper looks for orphans. All interfaces are needed; the zero value of all
// else works.
type Sweeper struct {
	Owners    Owners
	Homes     Homes
	Upstreams Upstreams
	Engines   Engines
	Cancels   Canceller
	Clock     clock.Clock
	Meter     *meter.Set

	// seen holds the orphans of each upstream as of the last round.
	seen shard.Map[string, orphans]
}

// orphans are the instants at which each was first seen, by ID.
type orphans map[string]clock.Millis

// Times of sweeping.
const (
	// Every is the time between two rounds.
	Every = 1 * clock.Second
	// Grace is how long an orphan must have been seen before it is cancelled.
	Grace = 1 * clock.Second

	callTimeout = 2 * clock.Second
	// calls bounds the engines that are asked at the same time.
	calls = 8
)

// Sweep makes one round over the engines whose home this entry is.
func (s *Sweeper) Sweep(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(calls)
	for _, name := range s.Upstreams.Names() {
		up, ok := s.Upstreams.Upstream(name)
		if !ok || up.Role == core.Service || !s.Homes.Home(name) {
			s.seen.Delete(name)
			continue
		}
		g.Go(func() error {
			s.engine(ctx, up)
			return nil
		})
	}
	_ = g.Wait()
}

// engine looks at what one engine runs.
func (s *Sweeper) engine(ctx context.Context, up core.Upstream) {
	ctx, done := context.WithTimeout(ctx, callTimeout.Std())
	defer done()
	list, err := s.Engines.Running(ctx, up)
	if err != nil {
		// What was seen before stays: an engine that answers late again must
		// not begin a new grace.
		return
	}
	before, _ := s.seen.Get(up.Name)
	now := s.Clock.Now()
	found := make(orphans)
	for _, r := range list {
		if !s.orphan(r) {
			continue
		}
		first, ok := before[r.ID]
		if !ok {
			first = now
		}
		found[r.ID] = first
		if now-first >= Grace {
			s.cancel(up, r)
		}
	}
	s.seen.Set(up.Name, found)
}

// orphan reports whether the request's owner is dead. An owner that is no
// entry of this system is left alone.
func (s *Sweeper) orphan(r core.Running) bool {
	owner, err := core.ParseOwner(r.Owner)
	return err == nil && s.Owners.Owner(owner) == core.Dead
}

func (s *Sweeper) cancel(up core.Upstream, r core.Running) {
	id, err := core.ParseID(r.ID)
	if err != nil {
		return
	}
	s.Meter.Add("orphans_cancelled_total", 1)
	s.Cancels.Add(core.Cancel{Upstream: up, ID: id, Attempt: r.Attempt, Answered: true})
}
