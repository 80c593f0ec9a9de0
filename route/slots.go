package route

import "math"

// FreeSlot selects a replica that can take one more call, of those with the lowest rank:
// the one with the least expected answer time, which grows with its share of used slots.
// It answers a load of many entries on few slots, where a call that finds all slots taken
// is better off waiting than being refused. The zero value is ready to use.
type FreeSlot struct {
	// Centre is the data centre of the entry that sends the call.
	Centre string
}

// messageGap is the time between the end of a call at a replica and the start of the next
// one, in milliseconds: the entry tells the owner, which answers another entry, which
// sends the call. Each takes 0.2 to 3 ms.
const messageGap = 5.0

// MaxInFlight returns the number of calls that may be in flight at the replica: its slots,
// and as many more as end within messageGap, so that no slot is idle meanwhile. The excess
// is one call at least and a third of the slots at most.
func (r *Replica) MaxInFlight(expected float64) int {
	excess := math.Ceil(float64(r.Slots) * messageGap / max(1, expected))
	return r.Slots + int(min(excess, max(1, float64(r.Slots/3))))
}

// Choose returns the index of the selected replica and its expected answer time in
// milliseconds. The index is -1 if no replica of the lowest rank has room.
func (f FreeSlot) Choose(replicas []Replica) (best int, expected float64) {
	best = -1
	lowestRank := math.MaxInt
	for i := range replicas {
		lowestRank = min(lowestRank, replicas[i].rank())
	}
	prior := PriorTime(replicas)
	lowest := 0.0
	for i := range replicas {
		r := &replicas[i]
		usual := r.Expected(prior)
		if r.rank() > lowestRank || r.Full || r.InFlight >= r.MaxInFlight(usual) {
			continue
		}
		cost := usual * (1 + float64(r.InFlight)/float64(max(1, r.Slots)))
		if r.Centre != f.Centre {
			cost += remoteReplicaCost
		}
		if best < 0 || cost < lowest {
			best, lowest, expected = i, cost, usual
		}
	}
	return best, expected
}
