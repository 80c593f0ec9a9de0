package entry

import (
	"github.com/cespare/xxhash/v2"

	"lacewinghook.example/lacewinghook/member"
)

// prepareSweep sets up the search for what dead entries left at the engines.
func (e *Entry) prepareSweep() {
	e.sweeper.Owners = &e.members
	e.sweeper.Homes = homes{&e.members}
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

// Home implements [sweep.Homes]: of all live entries the one with the highest
// hash of its name and the upstream's looks after it, so that few upstreams
// move when an entry comes or goes.
func (h homes) Home(upstream string) bool {
	best, top := "", uint64(0)
	for _, in := range h.members.Live() {
		if sum := xxhash.Sum64String(in.Name + "\x00" + upstream); best == "" || sum > top {
			best, top = in.Name, sum
		}
	}
	return best == h.members.Self.Name
}
