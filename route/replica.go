package route

// Replica holds the inputs for sending a call to one replica of a plain service.
type Replica struct {
	Name   string
	Centre string
	// MeanTime is the mean answer time in milliseconds, and Samples the number
	// of answers behind it, recent ones weighted more.
	MeanTime float64
	Samples  float64
	// InFlight counts the calls that all entries have there.
	InFlight int
	// Slots is the number of calls that the replica works on at once, Full means that it
	// can't take another one, and Failures is the share of recent calls that failed. Only
	// [FreeSlot] uses them.
	Slots    int
	Full     bool
	Failures float64
	// Leaving ranks the replica behind all that aren't, and Excluded behind all others.
	Leaving, Excluded bool
}

// rank returns 0 for a replica that is to be preferred, and more for others.
func (r *Replica) rank() int {
	rank := 0
	if r.Leaving {
		rank++
	}
	if r.Excluded {
		rank += 2
	}
	return rank
}

// LeastTime selects the replica with the least expected answer time: the usual
// time, multiplied by the number of calls in flight. It answers a load that varies
// between replicas and replicas that join while others are in use. The zero value
// is ready to use.
type LeastTime struct {
	// Centre is the data centre of the entry.
	Centre string
}

// Parameters of LeastTime, in milliseconds.
const (
	// unknownTime is the answer time that is assumed if no replica was measured.
	unknownTime = 60.0
	// RemoteReplicaCost covers the round trip to another data centre and the cost
	// of traffic between data centres.
	RemoteReplicaCost = 15.0
)

// Choose returns the index of the selected replica and its cost in milliseconds.
// The index is -1 if there is none.
func (l LeastTime) Choose(replicas []Replica) (best int, lowest float64) {
	best = -1
	prior := PriorTime(replicas)
	for i := range replicas {
		r := &replicas[i]
		cost := r.Expected(prior) * float64(1+r.InFlight)
		if r.Centre != l.Centre {
			cost += RemoteReplicaCost
		}
		if best < 0 || r.rank() < replicas[best].rank() || r.rank() == replicas[best].rank() && cost < lowest {
			best, lowest = i, cost
		}
	}
	return best, lowest
}

// Expected returns the expected answer time: the mean of the samples and of one
// more that takes the prior.
func (r *Replica) Expected(prior float64) float64 {
	return (r.MeanTime*r.Samples + prior) / (r.Samples + 1)
}

// PriorTime returns the answer time to assume for a replica without samples: that
// of the measured replicas, at most unknownTime. A replica that just joined is
// thus neither avoided next to fast ones nor preferred to slow ones by much.
func PriorTime(replicas []Replica) float64 {
	time, samples := unknownTime, 1.0
	for i := range replicas {
		time += replicas[i].MeanTime * replicas[i].Samples
		samples += replicas[i].Samples
	}
	return min(time/samples, unknownTime)
}
