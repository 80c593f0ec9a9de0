package entry

import (
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/route"
	"lacewinghook.example/lacewinghook/sched"
)

// placer puts together what decides where and when an attempt runs.
func (e *Entry) placer() *sched.Scheduler {
	s, o := e.Settings, e.Settings.PolicyOptions
	e.pool.NoCacheHints = !s.On(o.Hints)
	e.pool.NoStragglerScores = !s.On(o.Scores)
	e.pool.OnReport = e.places.Wake
	d := &e.places
	d.Upstreams = &e.pool
	d.Memory = e.memory()
	d.PrefillSlots = e.turns()
	d.Chooser = e.chooser(d.Memory == nil)
	d.Clock = e.Clock
	d.Meter = &e.meter
	d.Centre = s.Centre
	d.TokenBytes = o.TokenBytes
	d.MaxQueueTime = o.Ahead
	d.NoQueue = !s.On(o.Late)
	d.NoEarlyReject = !s.On(o.Refuse)
	d.NoFairShare = !s.On(o.Fair)
	e.meter.Gauge("waiting", func() float64 { return float64(d.Waiting()) })
	return d
}

func (e *Entry) chooser(unreserved bool) sched.Chooser {
	switch e.Settings.Policy {
	case config.PolicyRandom:
		return route.Random{}
	case config.PolicyLeast:
		return route.LeastLoaded{}
	}
	return route.Cost{Overcommit: unreserved}
}

// stragglers implements [flow.Stragglers]. While requests wait, a second
// attempt beside a slow one would take the place of another request.
type stragglers struct {
	e *Entry
}

// IsStraggler implements [flow.Stragglers].
func (s stragglers) IsStraggler(name string) bool {
	return s.e.places.Waiting() == 0 && s.e.pool.IsStraggler(name)
}

// Waiting returns the number of requests that wait for their turn.
func (e *Entry) Waiting() int { return e.places.Waiting() }
