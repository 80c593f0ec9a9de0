package entry

import (
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/route"
	"lacewinghook.example/lacewinghook/sched"
)

// newScheduler configures the scheduler, which queues each attempt until
// capacity is free and selects its upstreams.
func (e *Entry) newScheduler() *sched.Scheduler {
	s, o := e.Settings, e.Settings.PolicyOptions
	e.pool.NoCacheHints = !s.OptionEnabled(o.Hints)
	e.pool.NoStragglerScores = !s.OptionEnabled(o.Scores)
	e.pool.OnReport = e.scheduler.Wake
	scheduler := &e.scheduler
	scheduler.Upstreams = &e.pool
	scheduler.Memory = e.decodeCapacity()
	scheduler.PrefillSlots = e.prefillCapacity()
	scheduler.Chooser = e.newChooser(scheduler.Memory == nil)
	scheduler.Clock = e.Clock
	scheduler.Meter = &e.meter
	scheduler.Centre = s.Centre
	scheduler.TokenBytes = o.TokenBytes
	scheduler.MaxQueueTime = o.Ahead
	scheduler.NoQueue = !s.OptionEnabled(o.Late)
	scheduler.NoEarlyReject = !s.OptionEnabled(o.Refuse)
	scheduler.NoFairShare = !s.OptionEnabled(o.Fair)
	e.meter.Gauge("waiting", func() float64 { return float64(scheduler.Waiting()) })
	return scheduler
}

// newChooser returns the selection strategy of the configured policy.
// overcommit permits more work than an upstream's memory holds; it applies if
// the scheduler reserves no decode memory.
func (e *Entry) newChooser(overcommit bool) sched.Chooser {
	switch e.Settings.Policy {
	case config.PolicyRandom:
		return route.Random{}
	case config.PolicyLeast:
		return route.LeastLoaded{}
	}
	return route.Cost{Overcommit: overcommit}
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
