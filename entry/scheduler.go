package entry

import (
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/place"
	"lacewinghook.example/lacewinghook/route"
)

// newScheduler configures the scheduler, which selects the upstreams and the
// time of each attempt.
func (e *Entry) newScheduler() *place.Placer {
	s, o := e.Settings, e.Settings.PolicyOptions
	e.pool.NoHints = !s.On(o.Hints)
	e.pool.NoScores = !s.On(o.Scores)
	e.pool.OnReport = e.scheduler.Wake
	sched := &e.scheduler
	sched.Upstreams = &e.pool
	sched.Memory = e.decodeCapacity()
	sched.Turns = e.prefillCapacity()
	sched.Chooser = e.newChooser(sched.Memory == nil)
	sched.Clock = e.Clock
	sched.Meter = &e.meter
	sched.Centre = s.Centre
	sched.TokenBytes = o.TokenBytes
	sched.Ahead = o.Ahead
	sched.Early = !s.On(o.Late)
	sched.Hopeful = !s.On(o.Refuse)
	sched.Unfair = !s.On(o.Fair)
	e.meter.Gauge("waiting", func() float64 { return float64(sched.Waiting()) })
	return sched
}

// newChooser returns the selection strategy of the configured policy.
// unreserved allows more work than an upstream's memory holds.
func (e *Entry) newChooser(unreserved bool) place.Chooser {
	switch e.Settings.Policy {
	case config.PolicyRandom:
		return route.Random{}
	case config.PolicyLeast:
		return route.Least{}
	}
	return route.Cost{Overcommit: unreserved}
}

// stragglers implements [flow.Stragglers]. It reports no stragglers while
// requests are queued, since a hedge would take capacity from them.
type stragglers struct {
	e *Entry
}

// Slow implements [flow.Stragglers].
func (s stragglers) Slow(name string) bool {
	return s.e.scheduler.Waiting() == 0 && s.e.pool.Slow(name)
}

// Waiting returns the number of queued requests.
func (e *Entry) Waiting() int { return e.scheduler.Waiting() }
