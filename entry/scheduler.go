package entry

import (
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/route"
	"lacewinghook.example/lacewinghook/sched"
)

// newScheduler configures the scheduler, which selects the upstreams and the
// time of each attempt.
func (e *Entry) newScheduler() *sched.Scheduler {
	s, o := e.Settings, e.Settings.PolicyOptions
	e.pool.NoCacheHints = !s.OptionEnabled(o.Hints)
	e.pool.NoStragglerScores = !s.OptionEnabled(o.Scores)
	e.pool.OnReport = e.scheduler.Wake
	sched := &e.scheduler
	sched.Upstreams = &e.pool
	sched.Memory = e.decodeCapacity()
	sched.PrefillSlots = e.prefillCapacity()
	sched.Chooser = e.newChooser(sched.Memory == nil)
	sched.Clock = e.Clock
	sched.Meter = &e.meter
	sched.Centre = s.Centre
	sched.TokenBytes = o.TokenBytes
	sched.MaxQueueTime = o.Ahead
	sched.NoQueue = !s.OptionEnabled(o.Late)
	sched.NoEarlyReject = !s.OptionEnabled(o.Refuse)
	sched.NoFairShare = !s.OptionEnabled(o.Fair)
	e.meter.Gauge("waiting", func() float64 { return float64(sched.Waiting()) })
	return sched
}

// newChooser returns the selection strategy of the configured policy.
// unreserved allows more work than an upstream's memory holds.
func (e *Entry) newChooser(unreserved bool) sched.Chooser {
	switch e.Settings.Policy {
	case config.PolicyRandom:
		return route.Random{}
	case config.PolicyLeast:
		return route.LeastLoaded{}
	}
	return route.Cost{Overcommit: unreserved}
}

// stragglers implements [flow.Stragglers]. It reports no stragglers while
// requests are queued, since a hedge would take capacity from them.
type stragglers struct {
	e *Entry
}

// IsStraggler implements [flow.Stragglers].
func (s stragglers) IsStraggler(name string) bool {
	return s.e.scheduler.Waiting() == 0 && s.e.pool.IsStraggler(name)
}

// Waiting returns the number of queued requests.
func (e *Entry) Waiting() int { return e.scheduler.Waiting() }
