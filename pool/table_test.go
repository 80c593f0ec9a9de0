package pool_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
)

// newTable returns a table of engines and its manual clock.
func newTable(prefills, decodes int) (*pool.Table, *clock.Manual) {
	m := &clock.Manual{}
	t := &pool.Table{Clock: clock.Clock{Manual: m}}
	t.Apply(document(prefills, decodes))
	return t, m
}

// candidateOf returns the candidate with the given name, or the zero value.
func candidateOf(t *pool.Table, role core.Role, name string, blocks ...uint64) route.Candidate {
	for _, c := range t.Candidates(role, "verse", blocks, nil) {
		if c.Name == name {
			return c
		}
	}
	return route.Candidate{}
}

// runPrefill simulates a prefill of the given number of tokens that takes d.
func runPrefill(t *pool.Table, m *clock.Manual, name string, tokens int, d clock.Millis) {
	w := pool.Work{Requests: 1, Tokens: tokens, Prompt: tokens}
	id := t.StartPrefill(name, w)
	m.Advance(d)
	t.FinishPrefill(name, id, w, d, nil)
}

// TestStragglerSlowdownDecays checks that an upstream slower than its peers gets a
// slowdown, and loses it once its observations are old.
func TestStragglerSlowdownDecays(t *testing.T) {
	is := is.New(t)
	table, m := newTable(3, 1)
	for range 4 {
		for _, name := range []string{"prefill-00", "prefill-01", "prefill-02"} {
			runPrefill(table, m, name, 1000, 120)
		}
	}
	is.True(candidateOf(table, core.Prefill, "prefill-00").Slowdown < 1.2)
	// An overdue call raises the slowdown before it has ended.
	w := pool.Work{Requests: 1, Tokens: 1000}
	id := table.StartPrefill("prefill-00", w)
	m.Advance(600)
	is.True(candidateOf(table, core.Prefill, "prefill-00").Slowdown > 1.8)
	table.FinishPrefill("prefill-00", id, w, 600, nil)
	runPrefill(table, m, "prefill-00", 1000, 600)
	runPrefill(table, m, "prefill-00", 1000, 600)
	is.True(candidateOf(table, core.Prefill, "prefill-00").Slowdown > 2.5)
	is.True(candidateOf(table, core.Prefill, "prefill-01").Slowdown < 1.2)
	// Once its observations have decayed, the upstream is tried again.
	m.Advance(20 * clock.Second)
	is.True(candidateOf(table, core.Prefill, "prefill-00").Slowdown < 1.1)
}

// TestReportAppliesToItsInstant checks that work that ended after the instant of a
// late report isn't taken for the work of other entries.
func TestReportAppliesToItsInstant(t *testing.T) {
	is := is.New(t)
	table, m := newTable(1, 1)
	w := pool.Work{Pieces: 10, Held: 10}
	table.Begin("decode-00", w)
	m.Advance(500)
	table.End("decode-00", w)
	m.Advance(100)
	// 300 ms ago the engine held 25 pieces: 10 of this entry and 15 of others.
	table.Report(core.Report{Upstream: "decode-00", Age: 300, Pieces: 60, FreePieces: 35})
	is.Equal(candidateOf(table, core.Decode, "decode-00").Free, 45)
}

// TestDrainingExcludesCandidate checks that a draining upstream gets no new work, also
// after its list is published again.
func TestDrainingExcludesCandidate(t *testing.T) {
	is := is.New(t)
	table, _ := newTable(1, 2)
	table.Drain("decode-00", true)
	is.Equal(len(table.Candidates(core.Decode, "verse", nil, nil)), 1)
	is.True(!table.Reserve("decode-00", pool.Work{Pieces: 1}))
	table.Apply(document(1, 2)) // publishing again doesn't end the drain
	is.Equal(len(table.Candidates(core.Decode, "verse", nil, nil)), 1)
	table.Drain("decode-00", false)
	is.True(table.Reserve("decode-00", pool.Work{Pieces: 1}))
}

// TestCacheHints checks the hints from prefills and from numbered cache events.
func TestCacheHints(t *testing.T) {
	is := is.New(t)
	table, m := newTable(1, 1)
	hits := func(blocks ...uint64) int {
		return candidateOf(table, core.Prefill, "prefill-00", blocks...).CachedBlocks
	}
	id := table.StartPrefill("prefill-00", pool.Work{})
	table.FinishPrefill("prefill-00", id, pool.Work{}, 1, []uint64{1, 2, 3})
	is.Equal(hits(1, 2, 9), 2)
	m.Advance(30 * clock.Second)
	event := func(n int64, added, removed []uint64) {
		table.ApplyCacheEvent(pool.CacheEvent{Upstream: "prefill-00", Number: n, Added: added, Removed: removed})
	}
	event(7, []uint64{9}, []uint64{3})
	is.Equal(hits(1, 2, 3), 2)
	event(6, []uint64{3}, nil) // out of order, ignored
	is.Equal(hits(1, 2, 3), 2)
	event(10, nil, nil) // after a gap, only recently used blocks are kept
	is.Equal(hits(1, 2), 0)
	is.Equal(hits(9), 1) // used recently
	event(11, []uint64{5}, nil)
	m.Advance(2 * clock.Minute) // hints expire
	is.Equal(hits(5), 0)
}

// TestReserveNeverOvercommits checks that the reservations of one entry never exceed
// the memory size and that the free pieces match them, in any order of reserving and
// releasing.
func TestReserveNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, _ := newTable(1, 1)
		var held []pool.Work
		total := 0
		for _, n := range rapid.SliceOf(rapid.IntRange(-1, 30)).Draw(rt, "steps") {
			w := pool.Work{Pieces: n}
			switch {
			case n < 0 && len(held) > 0:
				table.End("decode-00", held[0])
				total -= held[0].Pieces
				held = held[1:]
			case n >= 0 && table.Reserve("decode-00", w):
				held = append(held, w)
				total += n
			}
			if total > 60 || candidateOf(table, core.Decode, "decode-00").Free != 60-total {
				rt.Fatalf("%d pieces reserved of 60", total)
			}
		}
	})
}

// TestRelistedUpstreamKeepsItsWork guards against a negative count of work at an upstream
// that was missing from one list, as after a silence of some heartbeats: it would be given
// more than it can take from then on.
func TestRelistedUpstreamKeepsItsWork(t *testing.T) {
	is := is.New(t)
	doc := &core.Document{Upstreams: []core.Upstream{{Name: "g", Role: core.Decode, Models: []string{"m"}, Pieces: 38}}}
	var table pool.Table
	table.Apply(doc)
	stream, prompt := pool.Work{Pieces: 10, Requests: 1}, pool.Work{Tokens: 100, Prompt: 100}
	table.Begin("g", stream)
	id := table.StartPrefill("g", prompt)
	table.Apply(&core.Document{})
	_, listed := table.Get("g")
	is.True(!listed)
	table.Apply(&core.Document{})
	table.FinishPrefill("g", id, prompt, 0, nil)
	table.Apply(doc)
	s, _ := table.Get("g")
	is.Equal(s.Own, stream)
	table.End("g", stream)
	s, _ = table.Get("g")
	is.Equal(s.Own, pool.Work{})
	// An upstream without work is forgotten.
	table.Apply(&core.Document{})
	table.Begin("g", stream)
	table.Apply(doc)
	s, _ = table.Get("g")
	is.Equal(s.Own, pool.Work{})
}
