package route

import "math"

// FreeSlot selects a replica that can take one more call, of those with the lowest rank:
// the one with the least expected answer time, which grows with its share of used slots.
// It selects none if waiting for a replica without room costs less. It answers a load of
// many entries on few slots, where a call that finds all slots taken is better off waiting
// than being refused. The zero value is ready to use.
type FreeSlot struct {
	// Centre is the data centre of the entry that sends the call.
	Centre string
	// Wait is the predicted time in milliseconds after which a replica without room has
	// taken the calls that wait.
	Wait float64
	// Gate, if not nil, decides whether the call may leave the data centre. Trip holds its
	// inputs; Choose sets Origin, Inside and Outside. Without a Gate, a replica in another
	// data centre costs [RemoteReplicaCost] more.
	Gate Gate
	Trip Trip
}

// side is the best choice among the replicas inside a data centre, or outside.
type side struct {
	// best is -1 if no replica has room. It costs lowest, and its usual answer time is usual.
	best          int
	lowest, usual float64
	// lowestFull is the least cost of the replicas without room, without the wait.
	lowestFull float64
}

// choose returns the selected replica, or -1 if waiting costs less.
func (s *side) choose(wait float64) (best int, usual float64) {
	if s.lowestFull+wait < s.lowest {
		return -1, 0
	}
	return s.best, s.usual
}

const (
	// messageGap is the time between the end of a call at a replica and the start of the
	// next one, in milliseconds: the entry tells the owner, which answers another entry,
	// which sends the call. Each takes 0.2 to 3 ms.
	messageGap = 5.0
	// failureCost is the cost of a failure in usual answer times: the call waits and is sent
	// again, for which it needs a retry. Without it a replica that fails all calls at once
	// would attract most of them.
	failureCost = 5.0
)

// MaxInFlight returns the number of calls that may be in flight at a replica with the given
// answer time: its slots, and as many more as end within messageGap, so that no slot is
// idle meanwhile. The excess is one call at least and a third of the slots at most.
func (r *Replica) MaxInFlight(usual float64) int {
	excess := math.Ceil(float64(r.Slots) * messageGap / max(1, usual))
	return r.Slots + int(min(excess, max(1, float64(r.Slots/3))))
}

// Choose returns the index of the selected replica and its usual answer time in
// milliseconds. The index is -1 if the call should wait.
func (f FreeSlot) Choose(replicas []Replica) (best int, usual float64) {
	lowestRank := math.MaxInt
	for i := range replicas {
		lowestRank = min(lowestRank, replicas[i].rank())
	}
	prior := PriorTime(replicas)
	none := side{best: -1, lowest: math.Inf(1), lowestFull: math.Inf(1)}
	inside, outside := none, none
	for i := range replicas {
		r := &replicas[i]
		if r.rank() > lowestRank || r.Full {
			continue
		}
		expected := r.Expected(prior)
		cost := expected * (1 + float64(r.InFlight)/float64(max(1, r.Slots)) + failureCost*r.Failures)
		s := &inside
		if r.Centre != f.Centre {
			s = &outside
		}
		switch {
		case r.InFlight >= r.MaxInFlight(expected):
			s.lowestFull = min(s.lowestFull, cost)
		case cost < s.lowest:
			s.best, s.lowest, s.usual = i, cost, expected
		}
	}
	if f.Gate != nil {
		t := f.Trip
		t.Origin, t.Inside, t.Outside = f.Centre, min(inside.lowest, inside.lowestFull+f.Wait), outside.lowest
		if f.Gate.Leaves(t) {
			return outside.best, outside.usual
		}
		return inside.choose(f.Wait)
	}
	outside.lowest += RemoteReplicaCost
	outside.lowestFull += RemoteReplicaCost
	if outside.lowest < inside.lowest {
		inside.best, inside.lowest, inside.usual = outside.best, outside.lowest, outside.usual
	}
	inside.lowestFull = min(inside.lowestFull, outside.lowestFull)
	return inside.choose(f.Wait)
}
