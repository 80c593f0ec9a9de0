package edge

import (
	"sync/atomic"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/taint"
)

// suspects is a [taint.Table] whose contents the entries exchange in heartbeats.
type suspects struct {
	taint.Table
	edge *Edge
	// tellUntil is the instant until which the suspects are sent to the peers.
	tellUntil atomic.Int64
}

// tellSuspectsFor is how long the suspects are part of heartbeats after a change, or after
// a peer that knows others: for one heartbeat to each peer.
const tellSuspectsFor clock.Millis = 1500

// init connects the table with the entry. whole is set for the suspects that are requests.
func (s *suspects) init(e *Edge, whole bool, store taint.Store) {
	s.edge = e
	s.Self, s.Whole, s.Store, s.Fresh = e.Settings.Instance, whole, store, e.Settings.Fleet.Fresh
	s.Clock, s.Meter, s.Log, s.OnChange = e.Clock, &e.meter, e.Log, s.announce
}

// announce sends the suspects to the peers.
func (s *suspects) announce() {
	s.tell()
	s.edge.gossip.Trigger()
}

// tell has the next heartbeats include the suspects.
func (s *suspects) tell() { s.tellUntil.Store(int64(s.Clock.Now() + tellSuspectsFor)) }

// news returns what the next heartbeat has of the suspects: their sum, and themselves if
// the peers need them.
func (s *suspects) news() (list []taint.Suspect, sum uint64) {
	if int64(s.Clock.Now()) < s.tellUntil.Load() {
		list = s.Suspects()
	}
	return list, s.Sum()
}

// handle adds the suspects that a peer knows, and sends it those that it lacks. A peer that
// differs is only told with the next heartbeat: it may be about to learn.
func (s *suspects) handle(list []taint.Suspect, sum uint64) {
	if s.Merge(list) {
		s.announce()
	}
	if sum != s.Sum() {
		s.tell()
	}
}
