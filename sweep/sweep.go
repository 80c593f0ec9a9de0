package sweep

import (
	"context"

	"golang.org/x/sync/errgroup"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/shard"
)

// Owners returns the state of an entry by its owner ID, which is unique to one
// run. It returns [core.Dead] only if that run has certainly ended.
type Owners interface {
	OwnerState(o core.Owner) core.InstanceState
}

// Assignments reports whether this entry is responsible for sweeping an
// upstream. For a short time two entries may be responsible for one upstream,
// which does no harm: cancels are idempotent.
type Assignments interface {
	IsOwner(upstream string) bool
}

// Upstreams lists the published upstreams.
type Upstreams interface {
	Names() []string
	Upstream(name string) (core.Upstream, bool)
}

// Engines queries model engines for the requests that they hold memory for.
type Engines interface {
	Running(ctx context.Context, up core.Upstream) ([]core.HeldRequest, error)
}

// Canceller sends cancels until they are confirmed.
type Canceller interface {
	Add(c core.Cancel)
}

// Sweeper finds and cancels orphans: requests on engines whose owner is dead.
// All interfaces are required; the other fields may be zero.
type Sweeper struct {
	Owners      Owners
	Assignments Assignments
	Upstreams   Upstreams
	Engines     Engines
	Cancels     Canceller
	Clock       clock.Clock
	Meter       *meter.Registry

	// firstSeen maps the name of each upstream to its orphans, as of the last
	// sweep.
	firstSeen shard.Map[string, orphans]
}

// orphans maps the IDs of orphaned requests to the time each was first seen.
type orphans map[string]clock.Millis

// Times and bounds of a sweep.
const (
	// Interval is the time between two sweeps.
	Interval = 1 * clock.Second
	// Grace is how long a request must have been an orphan before it is
	// cancelled.
	Grace = 1 * clock.Second

	// callTimeout bounds the query of one engine.
	callTimeout = 2 * clock.Second
	// maxConcurrentCalls bounds the engines queried at the same time.
	maxConcurrentCalls = 8
)

// Sweep queries the engines assigned to this entry once, and cancels orphans
// older than Grace.
func (s *Sweeper) Sweep(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for _, name := range s.Upstreams.Names() {
		up, ok := s.Upstreams.Upstream(name)
		if !ok || up.Role == core.Service || !s.Assignments.IsOwner(name) {
			s.firstSeen.Delete(name)
			continue
		}
		g.Go(func() error {
			s.sweepEngine(ctx, up)
			return nil
		})
	}
	_ = g.Wait()
}

// sweepEngine cancels the orphans of one engine.
func (s *Sweeper) sweepEngine(ctx context.Context, up core.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	list, err := s.Engines.Running(ctx, up)
	if err != nil {
		// Keep the orphans found before: an engine that misses one sweep must
		// not restart the grace period.
		return
	}
	before, _ := s.firstSeen.Get(up.Name)
	now := s.Clock.Now()
	found := make(orphans)
	for _, r := range list {
		if !s.isOrphan(r) {
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
	s.firstSeen.Set(up.Name, found)
}

// isOrphan reports whether the request's owner is dead. Requests of owners that
// are not entries of this system are left alone.
func (s *Sweeper) isOrphan(r core.HeldRequest) bool {
	owner, err := core.ParseOwner(r.Owner)
	return err == nil && s.Owners.OwnerState(owner) == core.Dead
}

// cancel enqueues a cancel of the request up to its listed attempt. Answered is
// set because the engine lists the request: the cancel cannot overtake the
// call.
func (s *Sweeper) cancel(up core.Upstream, r core.HeldRequest) {
	id, err := core.ParseID(r.ID)
	if err != nil {
		return
	}
	s.Meter.Add("orphans_cancelled_total", 1)
	s.Cancels.Add(core.Cancel{Upstream: up, ID: id, Attempt: r.Attempt, Answered: true})
}
