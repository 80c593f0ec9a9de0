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

// Table holds the state of all upstreams. The zero value is empty and ready
// to use. All methods are safe for concurrent use.
type Table struct {
	Clock clock.Clock
	// NoStragglerScores and NoCacheHints disable the slowdown scores and the
	// cache hints, for comparison.
	NoStragglerScores bool
	NoCacheHints      bool
	// OnReport, if not nil, is called after each engine report.
	OnReport func()
	// InitiallyDraining, if not nil, decides whether a published upstream is
	// draining. It is called for every upstream at each Apply.
	InitiallyDraining func(core.Upstream) bool

	// applyMu serializes calls of Apply.
	applyMu sync.Mutex
	index   atomic.Pointer[index]
}

// UpstreamState is the state of one upstream. The fields that change with
// each request come first, separate from those that are mostly read.
type UpstreamState struct {
	// Own is the work of this entry at the upstream, and Others the work of
	// the other entries, as derived from engine reports or received from them.
	Own    Work
	Others Work
	// Draining excludes the upstream from new work.
	Draining bool
	Upstream core.Upstream
	// Report is the engine's last report, and ReportAt the instant that its
	// data describes.
	Report   core.Report
	ReportAt clock.Millis
	// Observed holds the speeds measured by this entry.
	Observed Observations
}

// emptyIndex is used before the first Apply.
var emptyIndex = &index{}

// currentIndex returns the index of the upstreams last applied.
func (t *Table) currentIndex() *index {
	if idx := t.index.Load(); idx != nil {
		return idx
	}
	return emptyIndex
}

// Apply replaces the list of upstreams with the published one. The state of
// an upstream that is no longer published is dropped, once this entry has no work
// there.
func (t *Table) Apply(doc *core.Document) {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	idx := newIndex(t.currentIndex(), doc)
	if t.InitiallyDraining != nil {
		for _, u := range doc.Upstreams {
			idx.slots[u.Name].setDraining(t.InitiallyDraining(u))
		}
	}
	t.index.Store(idx)
}

// setDraining sets whether the upstream is excluded from new work.
func (s *slot) setDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Draining = draining
}

// Names returns the names of all upstreams in order. The caller must not
// modify the list.
func (t *Table) Names() []string { return t.currentIndex().names }

// Get returns a copy of the upstream's state, and false if it isn't
// published.
func (t *Table) Get(name string) (UpstreamState, bool) {
	var state UpstreamState
	found := t.update(name, func(s *slot) { state = s.state })
	return state, found
}

// update calls f with the upstream's slot locked. It returns false if the
// upstream isn't published.
func (t *Table) update(name string, f func(*slot)) bool {
	s, ok := t.currentIndex().slots[name]
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
	return true
}

// Report applies an engine report. The report lags by r.Age, so the work of
// this entry at that earlier instant is subtracted from it. The remainder is the
// work of the other entries.
func (t *Table) Report(r core.Report) {
	at := t.Clock.Now() - r.Age
	t.update(r.Upstream, func(s *slot) {
		own := s.history.at(at, s.state.Own)
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

// Load is the work of one entry at an upstream.
type Load struct {
	Upstream string
	Work     Work
}

// Loads returns the work of this entry at each upstream where it has any.
func (t *Table) Loads() []Load {
	idx := t.currentIndex()
	var loads []Load
	for _, name := range idx.names {
		s := idx.slots[name]
		s.mu.Lock()
		own := s.state.Own
		s.mu.Unlock()
		if own != (Work{}) {
			loads = append(loads, Load{Upstream: name, Work: own})
		}
	}
	return loads
}

// SetOthers replaces the work of the other entries at all upstreams. An
// upstream that is missing from loads has none.
func (t *Table) SetOthers(loads map[string]Work) {
	idx := t.currentIndex()
	for name, s := range idx.slots {
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

// Drain sets whether an upstream is excluded from new work.
func (t *Table) Drain(name string, draining bool) {
	t.update(name, func(s *slot) { s.state.Draining = draining })
}

// Begin adds work that this entry starts at an upstream.
func (t *Table) Begin(name string, w Work) { t.addWork(name, w, 1) }

// End subtracts work that has ended.
func (t *Table) End(name string, w Work) { t.addWork(name, w, -1) }

// addWork adds sign times w to this entry's work at an upstream.
func (t *Table) addWork(name string, w Work, sign int) {
	now := t.Clock.Now()
	t.updateAny(name, func(s *slot) { s.addWork(now, w, sign) })
}

// updateAny is [Table.update], also for upstreams that are no longer published and at
// which this entry has work.
func (t *Table) updateAny(name string, f func(*slot)) {
	if t.update(name, f) {
		return
	}
	if s, ok := t.currentIndex().dropped[name]; ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		f(s)
	}
}

// addWork adds sign times w to this entry's work. It records the amount before the
// change in the history, at most once per sampleInterval.
func (s *slot) addWork(now clock.Millis, w Work, sign int) {
	if now >= s.nextSample {
		s.history.record(now, s.state.Own)
		s.nextSample = now + sampleInterval
	}
	s.state.Own.add(w, sign)
}

// Reserve adds the work if the upstream isn't draining and has enough free
// pieces, by this entry's own count and the known work of other entries. It
// reports whether it added the work.
func (t *Table) Reserve(name string, w Work) bool {
	now := t.Clock.Now()
	fits := false
	t.update(name, func(s *slot) {
		fits = !s.state.Draining && s.state.freePieces() >= w.Pieces
		if fits {
			s.addWork(now, w, 1)
		}
	})
	return fits
}

// StartPrefill adds the work of a prefill call that begins now. The returned
// ID is passed to [Table.FinishPrefill].
func (t *Table) StartPrefill(name string, w Work) (id uint64) {
	now := t.Clock.Now()
	t.update(name, func(s *slot) {
		s.lastCall++
		id = s.lastCall
		ahead := s.state.Others.Tokens + s.state.Own.Tokens + w.Tokens
		s.calls = append(s.calls, prefillCall{id: id, start: now, amount: float64(ahead + callOverheadTokens)})
		s.addWork(now, w, 1)
	})
	return id
}

// FinishPrefill subtracts the work that [Table.StartPrefill] added. took is
// the duration of the call, or zero if it says nothing about the upstream's
// speed; blocks lists the blocks that the upstream now has cached, nil if the
// call failed.
func (t *Table) FinishPrefill(name string, id uint64, w Work, took clock.Millis, blocks []uint64) {
	now := t.Clock.Now()
	t.updateAny(name, func(s *slot) {
		s.addWork(now, w, -1)
		for i, call := range s.calls {
			if call.id == id {
				s.observePrefill(now, took, call.amount)
				s.calls = append(s.calls[:i], s.calls[i+1:]...)
				break
			}
		}
		s.hints.add(blocks, now)
	})
}

// observePrefill records the duration of a prefill call.
func (s *slot) observePrefill(now, took clock.Millis, amount float64) {
	if took > 0 {
		s.state.Observed.PrefillPerToken.Add(now, took, amount)
		s.state.Observed.updateUnqueued(took, amount)
	}
}

// ObservePrefill records how long another entry's prefill call took. tokens counts
// those of the prompt and of the prompts queued ahead.
func (t *Table) ObservePrefill(name string, took clock.Millis, tokens int) {
	now := t.Clock.Now()
	t.update(name, func(s *slot) { s.observePrefill(now, took, float64(tokens+callOverheadTokens)) })
}

// ObserveFirstToken records how long a decode upstream took to its first
// token.
func (t *Table) ObserveFirstToken(name string, took clock.Millis) {
	now := t.Clock.Now()
	t.update(name, func(s *slot) { s.state.Observed.FirstToken.Add(now, took, 1) })
}

// ObserveTokens records how long a decode upstream took to generate a number
// of tokens.
func (t *Table) ObserveTokens(name string, took clock.Millis, tokens int) {
	now := t.Clock.Now()
	t.update(name, func(s *slot) { s.state.Observed.InterToken.Add(now, took, float64(tokens)) })
}

// ApplyCacheEvent updates the cache hints of an upstream.
func (t *Table) ApplyCacheEvent(e CacheEvent) {
	now := t.Clock.Now()
	t.update(e.Upstream, func(s *slot) { s.hints.apply(e, now) })
}

// Candidates appends to buf the upstreams of the role that serve the model
// and aren't draining. blocks are the block hashes of the prompt, from which the
// number of cached blocks is estimated.
func (t *Table) Candidates(role core.Role, model string, blocks []uint64, buf []route.Candidate) []route.Candidate {
	g := t.currentIndex().groups[groupKey{role: role, model: model}]
	if g == nil {
		return buf
	}
	now := t.Clock.Now()
	base := g.currentBaseline(now)
	for _, s := range g.slots {
		s.mu.Lock()
		if !s.state.Draining {
			buf = append(buf, t.candidate(s, now, base, blocks))
		}
		s.mu.Unlock()
	}
	return buf
}

// candidate returns the inputs of the routing cost for one upstream. The
// caller must hold the slot's lock.
func (t *Table) candidate(s *slot, now clock.Millis, base Baseline, blocks []uint64) route.Candidate {
	state := &s.state
	c := route.Candidate{
		Name:          state.Upstream.Name,
		Centre:        state.Upstream.Centre,
		QueuedTokens:  state.Others.Tokens + state.Own.Tokens,
		Running:       state.Own.Requests + state.Others.Requests,
		Pieces:        state.Upstream.Pieces,
		Free:          state.freePieces(),
		Speed:         1 / base.UnqueuedPrefill,
		FirstToken:    base.FirstToken,
		TokenTime:     base.InterToken,
		LinkRate:      state.Upstream.Rate,
		TransferBytes: state.Own.Bytes,
		Slowdown:      1,
	}
	if !t.NoCacheHints {
		c.CachedBlocks = s.hints.hits(blocks, now)
	}
	if !t.NoStragglerScores {
		c.Slowdown = s.slowdown(now, base)
	}
	return c
}

// freePieces returns the pieces that no entry has reserved. If the memory
// size isn't published, it is unlimited.
func (s *UpstreamState) freePieces() int {
	if s.Upstream.Pieces == 0 {
		return math.MaxInt32
	}
	return s.Upstream.Pieces - s.Others.Held - s.Own.Pieces
}

// MaxPieces returns the largest memory size, in pieces, among the upstreams
// of the role that serve the model. It is math.MaxInt32 if any size isn't
// published.
func (t *Table) MaxPieces(role core.Role, model string) int {
	g := t.currentIndex().groups[groupKey{role: role, model: model}]
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

// ReplicasByLoad returns the replicas of a plain service that aren't
// draining, ordered by the number of this entry's requests there, fewest
// first.
func (t *Table) ReplicasByLoad(service string) []core.Upstream {
	replicas := t.Replicas(service)
	sort.SliceStable(replicas, func(i, j int) bool { return replicas[i].Own.Requests < replicas[j].Own.Requests })
	ups := make([]core.Upstream, len(replicas))
	for i := range replicas {
		ups[i] = replicas[i].Upstream
	}
	return ups
}

// Replicas returns the states of the replicas of a plain service that aren't
// draining.
func (t *Table) Replicas(service string) []UpstreamState {
	var states []UpstreamState
	for _, s := range t.currentIndex().services[service] {
		s.mu.Lock()
		if !s.state.Draining {
			states = append(states, s.state)
		}
		s.mu.Unlock()
	}
	return states
}
