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
	best = -1
	lowest, lowestFull := math.Inf(1), math.Inf(1)
	for i := range replicas {
		r := &replicas[i]
		if r.rank() > lowestRank || r.Full {
			continue
		}
		expected := r.Expected(prior)
		cost := expected * (1 + float64(r.InFlight)/float64(max(1, r.Slots)) + failureCost*r.Failures)
		if r.Centre != f.Centre {
			cost += remoteReplicaCost
		}
		switch {
		case r.InFlight >= r.MaxInFlight(expected):
			lowestFull = min(lowestFull, cost)
		case cost < lowest:
			best, lowest, usual = i, cost, expected
		}
	}
	if lowestFull+f.Wait < lowest {
		return -1, 0
	}
	return best, usual
}
