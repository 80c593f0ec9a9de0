package pool

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// index is an immutable list of the upstreams, with lookup by name, by role
// and model, and by service. The slots that it points to are mutable, each
// under its own lock.
type index struct {
	names []string
	slots map[string]*slot
	// dropped holds the slots of upstreams that are no longer published and at which
	// this entry still has work, so that the work is counted if they return.
	dropped  map[string]*slot
	groups   map[groupKey]*group
	services map[string][]*slot
}

// groupKey identifies a group of interchangeable upstreams.
type groupKey struct {
	role  core.Role
	model string
}

// group holds the upstreams of one role and model, and their cached baseline.
type group struct {
	slots    []*slot
	baseline atomic.Pointer[Baseline]
	// baselineExpiry is the instant, as clock.Millis, at which baseline expires.
	baselineExpiry atomic.Int64
}

// slot holds the state of one upstream. mu guards all fields.
type slot struct {
	mu sync.Mutex
	// nextSample is the earliest instant of the next history sample.
	nextSample clock.Millis
	state      UpstreamState
	history    history
	hints      cacheHints
	// calls lists the prefill calls in flight, oldest first.
	calls []prefillCall
	// lastCall is the ID of the newest prefill call.
	lastCall uint64
}

// newIndex builds the index of the published upstreams. An upstream that is
// already in old keeps its slot.
func newIndex(old *index, doc *core.Document) *index {
	idx := &index{
		slots:    make(map[string]*slot, len(doc.Upstreams)),
		dropped:  make(map[string]*slot),
		groups:   make(map[groupKey]*group),
		services: make(map[string][]*slot),
	}
	ups := slices.Clone(doc.Upstreams)
	sort.Slice(ups, func(i, j int) bool { return ups[i].Name < ups[j].Name })
	for _, u := range ups {
		s := old.slots[u.Name]
		if s == nil {
			s = old.dropped[u.Name]
		}
		if s == nil {
			s = &slot{}
		}
		s.setUpstream(u)
		idx.names = append(idx.names, u.Name)
		idx.slots[u.Name] = s
		idx.add(s, u)
	}
	for _, m := range []map[string]*slot{old.slots, old.dropped} {
		for name, s := range m {
			if idx.slots[name] == nil && s.hasWork() {
				idx.dropped[name] = s
			}
		}
	}
	return idx
}

// hasWork reports whether this entry has work at the upstream.
func (s *slot) hasWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Own != (Work{})
}

// setUpstream stores the published description. A change of role discards the
// observations and cache hints, which describe the old role.
func (s *slot) setUpstream(u core.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Upstream.Role != u.Role {
		s.state.Observed = Observations{}
		s.hints = cacheHints{}
	}
	s.state.Upstream = u
}

// add lists the slot under its service, or in the group of each of its
// models.
func (i *index) add(s *slot, u core.Upstream) {
	if u.Role == core.Service {
		i.services[u.Service] = append(i.services[u.Service], s)
		return
	}
	for _, model := range u.Models {
		key := groupKey{role: u.Role, model: model}
		if i.groups[key] == nil {
			i.groups[key] = &group{}
		}
		i.groups[key].slots = append(i.groups[key].slots, s)
	}
}

// baselineTTL is how long a group's cached baseline is used.
const baselineTTL clock.Millis = 100

// currentBaseline returns the group's baseline. When it has expired, one
// caller recomputes it and concurrent callers use the old one.
func (g *group) currentBaseline(now clock.Millis) Baseline {
	until := g.baselineExpiry.Load()
	if int64(now) >= until && g.baselineExpiry.CompareAndSwap(until, int64(now+baselineTTL)) {
		base := g.medians(now)
		g.baseline.Store(&base)
		return base
	}
	if base := g.baseline.Load(); base != nil {
		return *base
	}
	return defaultBaseline
}

// medians computes the baseline from the upstreams that have observations.
func (g *group) medians(now clock.Millis) Baseline {
	var prefill, first, interToken, unqueued []float64
	appendMean := func(values []float64, m DecayingMean) []float64 {
		if mean, ok := m.Mean(); ok {
			values = append(values, mean)
		}
		return values
	}
	for _, s := range g.slots {
		s.mu.Lock()
		observed := s.state.Observed
		s.mu.Unlock()
		prefill = appendMean(prefill, observed.PrefillPerToken)
		first = appendMean(first, observed.FirstToken)
		interToken = appendMean(interToken, observed.InterToken)
		if observed.UnqueuedPrefill > 0 {
			unqueued = append(unqueued, observed.UnqueuedPrefill)
		}
	}
	return Baseline{
		PrefillPerToken: median(prefill, defaultBaseline.PrefillPerToken),
		FirstToken:      median(first, defaultBaseline.FirstToken),
		InterToken:      median(interToken, defaultBaseline.InterToken),
		UnqueuedPrefill: median(unqueued, defaultBaseline.UnqueuedPrefill),
	}
}

// median returns the lower median of the values, or fallback if the list is
// empty. Stragglers are slow rather than fast, so with few values the lower
// one is the better estimate of normal speed.
func median(values []float64, fallback float64) float64 {
	if len(values) == 0 {
		return fallback
	}
	sort.Float64s(values)
	return max(values[(len(values)-1)/2], minMedian)
}

// minMedian keeps a median above zero, since it is used as a divisor.
const minMedian = 1e-6
