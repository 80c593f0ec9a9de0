package pool

import (
	"math"
	"sort"
	"sync"
	"sync/atomic"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/route"
)

// Table is the state of all upstreams. The zero value is empty and ready.
type Table struct {
	Clock clock.Clock
	// NoScores and NoHints leave out the straggler scores and the cache hints;
	// they are there for comparison.
	NoScores bool
	NoHints  bool
	// OnReport, if not nil, is called after each report.
	OnReport func()
	// Drained, if not nil, says whether an upstream that is published anew
	// begins as kept from new work.
	Drained func(core.Upstream) bool

	applying sync.Mutex
	index    atomic.Pointer[index]
}

// State is what is known of one upstream. What changes with each request
// stands first, apart from what is only read.
type State struct {
	// Own is the work that this entry has there, and Others what the report
	// has beyond it.
	Own    Work
	Others Work
	// Draining says that no new work may go there.
	Draining bool
	Upstream core.Upstream
	// Report is the engine's own account, and ReportAt the instant of its
	// data.
	Report   core.Report
	ReportAt clock.Millis
	// Seen is what the entry has observed.
	Seen Seen
}

var emptyIndex = &index{}

func (t *Table) load() *index {
	if x := t.index.Load(); x != nil {
		return x
	}
	return emptyIndex
}

// Apply takes over the published upstreams. Those that are no longer
// published are forgotten.
func (t *Table) Apply(doc *core.Document) {
	t.applying.Lock()
	defer t.applying.Unlock()
	x := newIndex(t.load(), doc)
	if t.Drained != nil {
		for _, u := range doc.Upstreams {
			x.slots[u.Name].drain(t.Drained(u))
		}
	}
	t.index.Store(x)
}

func (s *slot) drain(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Draining = draining
}

// Names returns the names of all upstreams in order. The list must not be
// changed.
func (t *Table) Names() []string { return t.load().names }

// Get returns a copy of what is known of an upstream.
func (t *Table) Get(name string) (State, bool) {
	var got State
	found := t.edit(name, func(s *slot) { got = s.state })
	return got, found
}

// edit calls f under the upstream's lock, if there is such an upstream.
func (t *Table) edit(name string, f func(*slot)) bool {
	s, ok := t.load().slots[name]
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
	return true
}

// Report takes over an engine's report.
func (t *Table) Report(r core.Report) {
	at := t.Clock.Now() - r.Age
	t.edit(r.Upstream, func(s *slot) {
		own := s.past.at(at, s.state.Own)
		s.state.Report = r
		s.state.ReportAt = at
		s.state.Others = Work{
			Tokens: max(0, r.QueueTokens-own.Prompt),
			Held:   max(0, r.Pieces-r.FreePieces-own.Held),
		}
	})
	if t.OnReport != nil {
		t.OnReport()
	}
}

// Load is the work that one entry has at an upstream.
type Load struct {
	Upstream string
	Work     Work
}

// Loads returns the work that this entry has at each upstream, as far as
// there is any.
func (t *Table) Loads() []Load {
	x := t.load()
	var all []Load
	for _, name := range x.names {
		s := x.slots[name]
		s.mu.Lock()
		own := s.state.Own
		s.mu.Unlock()
		if own != (Work{}) {
			all = append(all, Load{Upstream: name, Work: own})
		}
	}
	return all
}

// SetOthers takes over what the other entries say that they have at the
// upstreams. One that is not named has none.
func (t *Table) SetOthers(loads map[string]Work) {
	x := t.load()
	for name, s := range x.slots {
		s.mu.Lock()
		s.state.Others = loads[name]
		s.mu.Unlock()
	}
}

// Add returns the sum of two amounts of work.
func (w Work) Add(other Work) Work {
	w.add(other, 1)
	return w
}

// Drain sets whether an upstream is kept from new work.
func (t *Table) Drain(name string, draining bool) {
	t.edit(name, func(s *slot) { s.state.Draining = draining })
}

// Begin counts work that this entry starts at an upstream.
func (t *Table) Begin(name string, w Work) { t.count(name, w, 1) }

// End counts work that has ended.
func (t *Table) End(name string, w Work) { t.count(name, w, -1) }

func (t *Table) count(name string, w Work, sign int) {
	now := t.Clock.Now()
	t.edit(name, func(s *slot) { s.count(now, w, sign) })
}

func (s *slot) count(now clock.Millis, w Work, sign int) {
	if now >= s.keepAt {
		s.past.keep(now, s.state.Own)
		s.keepAt = now + historyEvery
	}
	s.state.Own.add(w, sign)
}

// Reserve counts work only if the upstream takes new work and its memory, by
// this entry's own counts and the last report, has room for the pieces.
func (t *Table) Reserve(name string, w Work) bool {
	now := t.Clock.Now()
	fits := false
	t.edit(name, func(s *slot) {
		fits = !s.state.Draining && s.state.free() >= w.Pieces
		if fits {
			s.count(now, w, 1)
		}
	})
	return fits
}

// Start counts a prefill that is called now, and returns the number that
// [Table.Finish] wants.
func (t *Table) Start(name string, w Work) (id uint64) {
	now := t.Clock.Now()
	t.edit(name, func(s *slot) {
		s.flown++
		id = s.flown
		ahead := s.state.Others.Tokens + s.state.Own.Tokens + w.Tokens
		s.flights = append(s.flights, flight{id: id, start: now, amount: float64(ahead + overheadTokens)})
		s.count(now, w, 1)
	})
	return id
}

// Finish ends what [Table.Start] counted. took is how long the call lasted,
// zero if that tells nothing; blocks are those that the upstream has cached
// now, nil if it failed.
func (t *Table) Finish(name string, id uint64, w Work, took clock.Millis, blocks []uint64) {
	now := t.Clock.Now()
	t.edit(name, func(s *slot) {
		s.count(now, w, -1)
		for i, f := range s.flights {
			if f.id == id {
				s.observe(now, took, f.amount)
				s.flights = append(s.flights[:i], s.flights[i+1:]...)
				break
			}
		}
		s.hints.add(blocks, now)
	})
}

func (s *slot) observe(now, took clock.Millis, amount float64) {
	if took > 0 {
		s.state.Seen.Prefill.add(now, took, amount)
		s.state.Seen.quick(took, amount)
	}
}

// First says how long a decode upstream took to its first token.
func (t *Table) First(name string, took clock.Millis) {
	now := t.Clock.Now()
	t.edit(name, func(s *slot) { s.state.Seen.First.add(now, took, 1) })
}

// Steps says how long a decode upstream took for so many tokens.
func (t *Table) Steps(name string, took clock.Millis, tokens int) {
	now := t.Clock.Now()
	t.edit(name, func(s *slot) { s.state.Seen.Step.add(now, took, float64(tokens)) })
}

// Event takes in a change of an upstream's prefix cache.
func (t *Table) Event(e CacheEvent) {
	now := t.Clock.Now()
	t.edit(e.Upstream, func(s *slot) { s.hints.event(e, now) })
}

// Candidates appends the upstreams of the role that serve the model and take
// new work. blocks are those of the prompt, for the cache hints.
func (t *Table) Candidates(role core.Role, model string, blocks []uint64, buf []route.Candidate) []route.Candidate {
	g := t.load().groups[groupKey{role: role, model: model}]
	if g == nil {
		return buf
	}
	now := t.Clock.Now()
	base := g.usual(now)
	for _, s := range g.slots {
		s.mu.Lock()
		if !s.state.Draining {
			buf = append(buf, t.candidate(s, now, base, blocks))
		}
		s.mu.Unlock()
	}
	return buf
}

func (t *Table) candidate(s *slot, now clock.Millis, base Base, blocks []uint64) route.Candidate {
	st := &s.state
	c := route.Candidate{
		Name:    st.Upstream.Name,
		Centre:  st.Upstream.Centre,
		Queue:   st.Others.Tokens + st.Own.Tokens,
		Running: st.Own.Requests + st.Others.Requests,
		Pieces:  st.Upstream.Pieces,
		Free:    st.free(),
		Speed:   1 / base.Quick,
		First:   base.First,
		Step:    base.Step,
		Rate:    st.Upstream.Rate,
		Moving:  st.Own.Bytes,
		Slow:    1,
	}
	if !t.NoHints {
		c.Hits = s.hints.hits(blocks, now)
	}
	if !t.NoScores {
		c.Slow = s.slow(now, base)
	}
	return c
}

// free returns the pieces that are neither held nor set aside. Memory of no
// published size is not limited.
func (s *State) free() int {
	if s.Upstream.Pieces == 0 {
		return math.MaxInt32
	}
	return s.Upstream.Pieces - s.Others.Held - s.Own.Pieces
}

// Largest returns the size of the largest memory among the upstreams of the
// role that serve the model, in pieces.
func (t *Table) Largest(role core.Role, model string) int {
	g := t.load().groups[groupKey{role: role, model: model}]
	if g == nil {
		return 0
	}
	largest := 0
	for _, s := range g.slots {
		s.mu.Lock()
		pieces := s.state.Upstream.Pieces
		s.mu.Unlock()
		if pieces == 0 {
			return math.MaxInt32
		}
		largest = max(largest, pieces)
	}
	return largest
}

// Services returns the replicas of a plain service that take new work, those
// with the least work of this entry first.
func (t *Table) Services(service string) []core.Upstream {
	found := t.Replicas(service)
	sort.SliceStable(found, func(i, j int) bool { return found[i].Own.Requests < found[j].Own.Requests })
	ups := make([]core.Upstream, len(found))
	for i := range found {
		ups[i] = found[i].Upstream
	}
	return ups
}

// Replicas returns what is known of the replicas of a plain service that take
// new work.
func (t *Table) Replicas(service string) []State {
	var found []State
	for _, s := range t.load().services[service] {
		s.mu.Lock()
		if !s.state.Draining {
			found = append(found, s.state)
		}
		s.mu.Unlock()
	}
	return found
}
