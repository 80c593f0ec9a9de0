package entry

import (
	"lacewinghook.example/lacewinghook/assign"
	"lacewinghook.example/lacewinghook/member"
)

// prepareSweep sets up the search for what dead entries left at the engines.
func (e *Entry) prepareSweep() {
	e.sweeper.Owners = &e.members
	e.sweeper.Assignments = homes{&e.members}
	e.sweeper.Upstreams = published{&e.pool}
	e.sweeper.Engines = &e.engines
	e.sweeper.Cancels = &e.cancels
	e.sweeper.Clock = e.Clock
	e.sweeper.Meter = &e.meter
}

// homes shares the upstreams out among the live entries.
type homes struct {
	members *member.Table
}

// Owner implements [sweep.Homes].
func (h homes) Owner(upstream string) bool {
	return assign.Owner(upstream, h.members.Live()) == h.members.Self.Name
}
