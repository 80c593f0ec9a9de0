package entry

import (
	"lacewinghook.example/lacewinghook/assign"
	"lacewinghook.example/lacewinghook/member"
)

// prepareSweep sets up the sweeper, which cancels requests that dead entries
// left at the engines.
func (e *Entry) prepareSweep() {
	e.sweeper.Owners = &e.members
	e.sweeper.Assignments = assignments{&e.members}
	e.sweeper.Upstreams = publishedUpstreams{&e.pool}
	e.sweeper.Engines = &e.engines
	e.sweeper.Cancels = &e.cancels
	e.sweeper.Clock = e.Clock
	e.sweeper.Meter = &e.meter
}

// assignments assigns each upstream to one live entry by rendezvous hashing.
type assignments struct {
	members *member.Table
}

// IsOwner implements [sweep.Assignments]. It reports whether this entry is the
// owner of the upstream and therefore sweeps it.
func (a assignments) IsOwner(upstream string) bool {
	return assign.Owner(upstream, a.members.Live()) == a.members.Self.Name
}
