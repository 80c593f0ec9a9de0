package slots

import (
	"slices"
	"sync"
	"sync/atomic"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/limit"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
)

// group holds the calls at the replicas of one group.
type group struct {
	service string
	number  int
	queue   limit.Queue
	// waiting counts the calls in the queue, whose lock may be held when it is read.
	waiting atomic.Int64

	// mu guards the fields below. It is taken while the queue's lock is held, and never
	// the other way round.
	mu       sync.Mutex
	replicas map[string]*replica
	// usual is the usual answer time of the replicas, and slots the sum of their slots.
	usual clock.Millis
	slots int
}

// replica is the state of one run of a replica. The group's lock guards it.
type replica struct {
	group    *group
	run      int64
	inFlight int
	// times holds the times of answers, and failures the share of calls that failed.
	times, failures pool.DecayingMean
	// refused is set once it has refused a call. It counts as full until fullUntil.
	refused   bool
	fullUntil clock.Millis
}

// minFullTime is the least time for which a replica that refused a call counts as full.
// Otherwise it is the usual time of an answer, in which a slot becomes free.
const minFullTime clock.Millis = 20

// placement is the result of a choice.
type placement struct {
	replica *replica
	// leaves is set if the replica is in another data centre than the entry.
	leaves bool
	answer Answer
}

// choose selects a replica for an ask, and counts the call there. f holds the data centre of
// the entry, and the gate with its inputs. ok is false if no replica has room.
func (g *group) choose(a *Ask, f route.FreeSlot, list []Replica, now clock.Millis) (p placement, ok bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates := make([]route.Replica, 0, len(list))
	states := make([]*replica, 0, len(list))
	g.slots = 0
	sum, weight := float64(firstUsual), 1.0
	for i := range list {
		r := &list[i]
		s := g.state(r)
		g.slots += r.Slots
		if slices.Contains(a.Barred, r.Name) {
			continue
		}
		mean, samples := s.times.Recent(now)
		failures, _ := s.failures.Recent(now)
		sum, weight = sum+mean*samples, weight+samples
		states = append(states, s)
		candidates = append(candidates, route.Replica{
			Name: r.Name, Centre: r.Centre, MeanTime: mean, Samples: samples, InFlight: s.inFlight, Slots: r.Slots, Failures: failures,
			Full: s.refused && now < s.fullUntil, Leaving: slices.Contains(a.Leaving, r.Name), Excluded: slices.Contains(a.Exclude, r.Name),
		})
	}
	if len(candidates) == 0 {
		return placement{}, false, codes.New(codes.NoUpstream, "service %q: no replica of %d may be used", g.service, len(list))
	}
	g.usual = clock.Millis(sum / weight)
	f.Wait = float64(g.waiting.Load()) * float64(g.usual) / float64(g.slots)
	i, expected := f.Choose(candidates)
	if i < 0 {
		return placement{}, false, nil
	}
	states[i].inFlight++
	return placement{states[i], candidates[i].Centre != f.Centre, Answer{
		Replica: candidates[i].Name, Usual: clock.Millis(expected), InFlight: states[i].inFlight, Slots: candidates[i].Slots,
	}}, true, nil
}

// state returns the state of a replica's run. The caller holds g.mu.
func (g *group) state(r *Replica) *replica {
	if g.replicas == nil {
		g.replicas = make(map[string]*replica)
	}
	s := g.replicas[r.Name]
	if s == nil || s.run != r.Run {
		// The calls of an earlier run have ended with it.
		s = &replica{group: g, run: r.Run}
		g.replicas[r.Name] = s
	}
	return s
}

// release ends a call at a replica. It returns how long the replica counts as full, zero
// if it doesn't.
func (g *group) release(s *replica, e End, now clock.Millis) (full clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.inFlight--
	switch e.Outcome {
	case Answered:
		s.times.Add(now, e.Took, 1)
		s.failures.Add(now, 0, 1)
	case Failed:
		s.failures.Add(now, 1, 1)
	case Refused:
		full = max(minFullTime, g.usual)
		s.refused, s.fullUntil = true, now+full
	}
	return full
}

// retain forgets the replicas that aren't listed.
func (g *group) retain(list []Replica) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name := range g.replicas {
		if !slices.ContainsFunc(list, func(r Replica) bool { return r.Name == name }) {
			delete(g.replicas, name)
		}
	}
}

// times returns the usual answer time, and the time in which the waiting calls are
// served.
func (g *group) times() (usual, drain clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usual, clock.Millis(g.waiting.Load()) * g.usual / clock.Millis(max(1, g.slots))
}
