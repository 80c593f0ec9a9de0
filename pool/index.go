package pool

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// index is the list of upstreams, ordered for the questions that are asked.
// It is immutable; the slots that it points to change under their own locks.
type index struct {
	names    []string
	slots    map[string]*slot
	groups   map[groupKey]*group
	services map[string][]*slot
}

// groupKey names upstreams that may stand in for each other.
type groupKey struct {
	role  core.Role
	model string
}

// group is the upstreams of one role and model.
type group struct {
	slots []*slot
	base  atomic.Pointer[Base]
	// baseUntil is the instant up to which base holds.
	baseUntil atomic.Int64
}

// slot is the state of one upstream under its lock.
type slot struct {
	mu sync.Mutex
	// keepAt is the instant of the next sample of the history.
	keepAt  clock.Millis
	state   State
	past    history
	hints   hints
	flights []flight
	flown   uint64
}

// newIndex builds the index of the published upstreams. Those that the old
// index has in the same role keep their state.
func newIndex(old *index, doc *core.Document) *index {
	x := &index{
		slots:    make(map[string]*slot, len(doc.Upstreams)),
		groups:   make(map[groupKey]*group),
		services: make(map[string][]*slot),
	}
	ups := slices.Clone(doc.Upstreams)
	sort.Slice(ups, func(i, j int) bool { return ups[i].Name < ups[j].Name })
	for _, u := range ups {
		s := old.slots[u.Name]
		if s == nil {
			s = &slot{}
		}
		s.publish(u)
		x.names = append(x.names, u.Name)
		x.slots[u.Name] = s
		x.place(s, u)
	}
	return x
}

// publish takes over the published facts. An upstream that changed its role
// is a new one to the observations.
func (s *slot) publish(u core.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Upstream.Role != u.Role {
		s.state.Seen = Seen{}
		s.hints = hints{}
	}
	s.state.Upstream = u
}

func (x *index) place(s *slot, u core.Upstream) {
	if u.Role == core.Service {
		x.services[u.Service] = append(x.services[u.Service], s)
		return
	}
	for _, model := range u.Models {
		key := groupKey{role: u.Role, model: model}
		if x.groups[key] == nil {
			x.groups[key] = &group{}
		}
		x.groups[key].slots = append(x.groups[key].slots, s)
	}
}

// baseEvery is how long the medians of a group hold.
const baseEvery clock.Millis = 100

// usual returns what is usual in the group. One caller at a time works it out
// anew; others take what stands.
func (g *group) usual(now clock.Millis) Base {
	until := g.baseUntil.Load()
	if int64(now) >= until && g.baseUntil.CompareAndSwap(until, int64(now+baseEvery)) {
		base := g.medians(now)
		g.base.Store(&base)
		return base
	}
	if base := g.base.Load(); base != nil {
		return *base
	}
	return defaultBase
}

func (g *group) medians(now clock.Millis) Base {
	var prefill, first, step, quick []float64
	keep := func(list []float64, p Pace) []float64 {
		if mean, ok := p.Mean(); ok {
			list = append(list, mean)
		}
		return list
	}
	for _, s := range g.slots {
		s.mu.Lock()
		seen := s.state.Seen
		s.mu.Unlock()
		prefill = keep(prefill, seen.Prefill)
		first = keep(first, seen.First)
		step = keep(step, seen.Step)
		if seen.Quick > 0 {
			quick = append(quick, seen.Quick)
		}
	}
	return Base{
		Prefill: median(prefill, defaultBase.Prefill),
		First:   median(first, defaultBase.First),
		Step:    median(step, defaultBase.Step),
		Quick:   median(quick, defaultBase.Quick),
	}
}

// median returns the lower median, since most stragglers are slow and few
// upstreams are seen at first.
func median(list []float64, none float64) float64 {
	if len(list) == 0 {
		return none
	}
	sort.Float64s(list)
	return max(list[(len(list)-1)/2], minMean)
}

// minMean keeps a median above zero.
const minMean = 1e-6
