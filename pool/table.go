package pool

import (
	"sort"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/route"
	"lacewinghook.example/lacewinghook/shard"
)

// Table is the state of all upstreams. The zero value is empty and ready.
type Table struct {
	Clock clock.Clock

	states shard.Map[string, *State]

	mu    sync.Mutex
	names []string
}

// State is what is known of one upstream.
type State struct {
	Upstream core.Upstream
	// Report is the engine's own account, and ReportAt the instant of its
	// data.
	Report   core.Report
	ReportAt clock.Millis
	// Own is the work that this entry has there.
	Own Work
	// Draining says that no new work may go there.
	Draining bool
}

// Work is an amount of work at an upstream.
type Work struct {
	Requests int
	Tokens   int
	Pieces   int
	Bytes    int64
}

// Apply takes over the published upstreams. Those that are no longer
// published are forgotten.
func (t *Table) Apply(doc *core.Document) {
	published := make(map[string]bool, len(doc.Upstreams))
	names := make([]string, 0, len(doc.Upstreams))
	for _, u := range doc.Upstreams {
		published[u.Name] = true
		names = append(names, u.Name)
		t.states.Update(u.Name, func(s *State, ok bool) (*State, bool) {
			if !ok {
				s = &State{}
			}
			s.Upstream = u
			return s, true
		})
	}
	t.states.Each(func(name string, _ *State) bool { return published[name] })
	sort.Strings(names)
	t.mu.Lock()
	t.names = names
	t.mu.Unlock()
}

// Names returns the names of all upstreams in order.
func (t *Table) Names() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.names
}

// Get returns a copy of what is known of an upstream.
func (t *Table) Get(name string) (State, bool) {
	var got State
	var found bool
	t.edit(name, func(s *State) { got, found = *s, true })
	return got, found
}

// edit calls f under the lock of the upstream's shard.
func (t *Table) edit(name string, f func(*State)) {
	t.states.Update(name, func(s *State, ok bool) (*State, bool) {
		if ok {
			f(s)
		}
		return s, ok
	})
}

// Report takes over an engine's report.
func (t *Table) Report(r core.Report) {
	at := t.Clock.Now() - r.Age
	t.edit(r.Upstream, func(s *State) {
		s.Report = r
		s.ReportAt = at
	})
}

// Drain sets whether an upstream is kept from new work.
func (t *Table) Drain(name string, draining bool) {
	t.edit(name, func(s *State) { s.Draining = draining })
}

// Begin counts work that this entry starts at an upstream.
func (t *Table) Begin(name string, w Work) {
	t.edit(name, func(s *State) { s.Own.add(w, 1) })
}

// End counts work that has ended.
func (t *Table) End(name string, w Work) {
	t.edit(name, func(s *State) { s.Own.add(w, -1) })
}

func (w *Work) add(other Work, sign int) {
	w.Requests += sign * other.Requests
	w.Tokens += sign * other.Tokens
	w.Pieces += sign * other.Pieces
	w.Bytes += int64(sign) * other.Bytes
}

// Candidates appends the upstreams of the role that serve the model and take
// new work.
func (t *Table) Candidates(role core.Role, model string, buf []route.Candidate) []route.Candidate {
	for _, name := range t.Names() {
		t.edit(name, func(s *State) {
			if s.Draining || s.Upstream.Role != role || !s.Upstream.Serves(model) {
				return
			}
			buf = append(buf, s.candidate())
		})
	}
	return buf
}

func (s *State) candidate() route.Candidate {
	pieces := s.Upstream.Pieces
	return route.Candidate{
		Name:    s.Upstream.Name,
		Centre:  s.Upstream.Centre,
		Queue:   max(s.Own.Tokens, s.Report.QueueTokens),
		Running: s.Own.Requests,
		Pieces:  pieces,
		Free:    pieces - max(s.Own.Pieces, s.Report.Pieces-s.Report.FreePieces),
		Rate:    s.Upstream.Rate,
		Moving:  s.Own.Bytes,
	}
}

// Services returns the replicas of a plain service that take new work, those
// with the least work of this entry first.
func (t *Table) Services(service string) []core.Upstream {
	var found []State
	for _, name := range t.Names() {
		t.edit(name, func(s *State) {
			if !s.Draining && s.Upstream.Role == core.Service && s.Upstream.Service == service {
				found = append(found, *s)
			}
		})
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Own.Requests < found[j].Own.Requests })
	ups := make([]core.Upstream, len(found))
	for i := range found {
		ups[i] = found[i].Upstream
	}
	return ups
}
