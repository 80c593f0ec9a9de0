package alloc_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/alloc"
	"lacewinghook.example/lacewinghook/assign"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
)

// pieces is the memory of an engine, and each the memory of a request.
const (
	pieces = 38
	each   = 6
)

// site is a set of entries that place requests on the same engines. It delivers their
// messages and counts them.
type site struct {
	entries map[string]*entry
	list    []core.Instance
	groups  alloc.Groups
	// callers are the entries at which requests arrive.
	callers []core.Instance

	mu sync.Mutex
	// down holds the entries that don't answer.
	down map[string]bool
	// used and most are the memory in use at each engine and its maximum.
	used, most map[string]int
	messages   atomic.Int64
	bytes      atomic.Int64
}

// entry is one entry of a site.
type entry struct {
	alloc.Client
	table *pool.Table
}

// candidates adds the reported work of other entries to the pool.
type candidates struct {
	*pool.Table
	ledger *alloc.Ledger
}

// inBubble returns f as a test in a bubble, whose time passes only while all of it waits.
func inBubble(f func(t *testing.T)) func(t *testing.T) {
	return func(t *testing.T) { synctest.Test(t, f) }
}

// newSite starts n entries before the engines.
func newSite(t *testing.T, n int, ups []core.Upstream) *site {
	s := &site{entries: make(map[string]*entry), groups: alloc.Divide(service, ups), down: make(map[string]bool), used: make(map[string]int), most: make(map[string]int)}
	for i := range n {
		name := fmt.Sprintf("e%03d", i)
		s.list = append(s.list, core.Instance{Name: name, Peer: name})
	}
	s.callers = s.list
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { stop(); wg.Wait() })
	for i, in := range s.list {
		e := &entry{table: &pool.Table{}}
		e.table.Apply(&core.Document{Upstreams: ups})
		ledger := &alloc.Ledger{}
		groupOf := func(engine string) (string, int, bool) { g, ok := s.groups.Of[engine]; return service, g, ok }
		desk := &alloc.Desk{Pool: candidates{e.table, ledger}, GroupOf: groupOf}
		e.Client = alloc.Client{
			Desk: desk, Peers: s, Ledger: ledger, Self: in, Boot: uint64(i + 1),
			Entries: func() []core.Instance { return s.list },
			Groups:  func(string) alloc.Groups { return s.groups },
			GroupOf: groupOf,
			Loads:   e.table.Loads, Observed: func(alloc.Observation) {},
			OnWork: func() { go desk.Wake() },
		}
		s.entries[in.Name] = e
	}
	for _, e := range s.entries {
		wg.Go(func() { e.Run(ctx) })
	}
	return s
}

// Candidates sets the work of others and returns the table's candidates.
func (c candidates) Candidates(role core.Role, model string, blocks []uint64, buf []route.Candidate) []route.Candidate {
	c.SetOthers(c.ledger.Work())
	return c.Table.Candidates(role, model, blocks, buf)
}

// count counts a message and fails if the entry is down.
func (s *site) count(addr string, message any) error {
	data, err := json.Marshal(message)
	if err != nil {
		return err
	}
	s.messages.Add(1)
	s.bytes.Add(int64(len(data)))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down[addr] {
		return codes.New(codes.CutOff, "%s is down", addr)
	}
	return nil
}

// Place implements [alloc.Peers].
func (s *site) Place(ctx context.Context, addr string, c alloc.Call) (alloc.Result, error) {
	if err := s.count(addr, c); err != nil {
		return alloc.Result{}, err
	}
	r := s.entries[addr].Serve(ctx, c)
	return r, s.count(addr, r)
}

// Report implements [alloc.Peers].
func (s *site) Report(_ context.Context, addr string, r alloc.Report) error {
	if err := s.count(addr, r); err != nil {
		return err
	}
	s.entries[addr].HandleReport(r)
	return nil
}

// run places a request at an entry, has it use memory for a time, and returns the
// error and the wait.
func (s *site) run(ctx context.Context, e *entry, hold, latest clock.Millis) (clock.Millis, error) {
	c := clock.Clock{}
	start := c.Now()
	var choice alloc.Choice
	w := pool.Work{Requests: 1, Pieces: each}
	err := e.Place(ctx, alloc.Request{
		Service: service, Tokens: 3000, Output: 170, Pieces: each, Target: start + latest, Latest: start + latest, TimeToFirstToken: 10,
	}, func(got alloc.Choice) {
		choice = got
		e.table.Begin(got.Decode, w)
	})
	if err != nil {
		return c.Now() - start, err
	}
	waited := c.Now() - start
	e.Trigger()
	s.use(choice.Decode, each)
	_ = c.Sleep(ctx, hold)
	s.use(choice.Decode, -each)
	e.table.End(choice.Decode, w)
	e.Trigger()
	e.Wake()
	return waited, nil
}

// use changes the memory in use at an engine.
func (s *site) use(engine string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used[engine] += n
	s.most[engine] = max(s.most[engine], s.used[engine])
}

// load runs requests that arrive at random entries, n a second for d, and returns how
// many were placed and rejected, and the longest wait of those placed.
func (s *site) load(t *testing.T, n int, d, hold, latest clock.Millis) (placed, rejected int, longest clock.Millis) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	c := clock.Clock{}
	for i, start := 0, c.Now(); c.Now()-start < d; i++ {
		if behind := clock.Millis(i*1000/n) - (c.Now() - start); behind > 0 {
			_ = c.Sleep(t.Context(), behind)
		}
		e := s.entries[s.callers[rand.IntN(len(s.callers))].Name]
		wg.Go(func() {
			waited, err := s.run(t.Context(), e, hold, latest)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				rejected++
				return
			}
			placed++
			longest = max(longest, waited)
		})
	}
	wg.Wait()
	return placed, rejected, longest
}

// TestManyEntries places the load of a large site by 300 entries: steady load that
// fits, and the crest of a burst, at which twice as much arrives as the memory can
// hold. Messages must stay within the control traffic of 9 KB a second and entry, and
// no engine may get more than its memory.
func TestManyEntries(t *testing.T) {
	const size, perSecond, hold = 300, 192, 1000
	for name, c := range map[string]struct {
		decodes int
		placed  float64
	}{
		// Each engine holds six requests.
		"fits":          {48, 0.99},
		"twice as much": {16, 0.4},
	} {
		t.Run(name, inBubble(func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, size, engines(12, c.decodes))
			const span = 3 * clock.Second
			placed, rejected, longest := s.load(t, perSecond, span, hold, 300)
			seconds := float64(span+hold) / 1000
			messages := float64(s.messages.Load()) / size / seconds
			bytes := float64(s.bytes.Load()) / size / seconds
			t.Logf("placed %d, rejected %d, longest wait %d ms; %.1f messages and %.0f bytes a second and entry",
				placed, rejected, longest, messages, bytes)
			is.True(float64(placed) >= c.placed*float64(placed+rejected))
			is.True(bytes <= 9000)
			is.True(longest <= 300)
			for _, most := range s.most {
				is.True(most <= pieces)
			}
		}))
	}
}

// TestLateRequests checks that a request that can't make its target any more is
// rejected at once, also if engines are free, and also by the owner.
func TestLateRequests(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 20, engines(1, 1))
	for _, in := range s.list {
		_, err := s.run(t.Context(), s.entries[in.Name], 0, 5) // the first token takes 10 ms
		is.True(codes.Has(err, codes.DeadlineUnmet))
		is.Equal(codes.From(err).Run, codes.NotRun)
		r := s.entries[in.Name].Serve(t.Context(), alloc.Call{Service: service, Tokens: 3000, Pieces: each, Target: 5, Latest: 5, First: 10})
		is.Equal(r.Code, codes.DeadlineUnmet)
	}
	is.Equal(s.messages.Load(), int64(0))
}

// slowPeers answers after a time.
type slowPeers struct {
	alloc.Peers
	clock *clock.Manual
	delay clock.Millis
}

// Place implements [alloc.Peers].
func (p slowPeers) Place(ctx context.Context, addr string, c alloc.Call) (alloc.Result, error) {
	res, err := p.Peers.Place(ctx, addr, c)
	p.clock.Advance(p.delay)
	return res, err
}

// TestPlacedTooLate guards against a request that is served although the owner's answer
// has arrived after the latest time at which it could start.
func TestPlacedTooLate(t *testing.T) {
	for _, c := range []struct {
		delay clock.Millis
		code  codes.Code
	}{{89, 0}, {91, codes.DeadlineUnmet}} {
		is := is.New(t)
		s := newSite(t, 14, engines(1, 1))
		e := s.entries["e000"]
		if assign.Owner(service+"/0", s.list) == "e000" {
			e = s.entries["e001"]
		}
		m := &clock.Manual{}
		client := &alloc.Client{
			Desk: e.Desk, Peers: slowPeers{s, m, c.delay}, Self: e.Self, Boot: e.Boot, Entries: e.Entries,
			Groups: e.Groups, GroupOf: e.GroupOf, Clock: clock.Clock{Manual: m},
		}
		placed := false
		err := client.Place(t.Context(), alloc.Request{Service: service, Tokens: 3000, Pieces: each, Target: 100, Latest: 100, TimeToFirstToken: 10},
			func(alloc.Choice) { placed = true })
		is.Equal(placed, c.code == 0)
		if c.code != 0 {
			is.True(codes.Has(err, c.code))
			is.Equal(codes.From(err).Run, codes.NotRun)
		}
	}
}

// TestOwnerIsLost takes down half of the entries, which stay listed, while requests
// run. The others must take over their groups: no request may be rejected, nor an
// engine get more than its memory.
func TestOwnerIsLost(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 40, engines(8, 40))
	placed, rejected, _ := s.load(t, 60, 1500, 500, 300)
	is.Equal(rejected, 0)
	s.mu.Lock()
	for _, in := range s.list[:20] {
		s.down[in.Name] = true
	}
	s.mu.Unlock()
	s.callers = s.list[20:]
	more, rejected, longest := s.load(t, 60, 2500, 500, 300)
	t.Logf("placed %d, then %d, longest wait %d ms", placed, more, longest)
	is.Equal(rejected, 0)
	is.True(longest <= 300)
	for _, most := range s.most {
		is.True(most <= pieces)
	}
}

// TestLedger checks which work of others counts.
func TestLedger(t *testing.T) {
	load := func(n int) []alloc.Load { return []alloc.Load{{Engine: "d", Requests: n, Pieces: n * each}} }
	choice := alloc.Choice{Decode: "d", Prefill: "p", Tokens: 3000}
	for name, c := range map[string]struct {
		steps func(l *alloc.Ledger, m *clock.Manual)
		want  int
	}{
		"a placement": {func(l *alloc.Ledger, _ *clock.Manual) { l.Grant("a", 1, choice, each) }, 1},
		"a placement that was reported": {func(l *alloc.Ledger, _ *clock.Manual) {
			g := l.Grant("a", 1, choice, each)
			l.Report(alloc.Report{Entry: "a", Boot: 1, Seq: 1, Loads: load(1), Grants: []uint64{g}})
		}, 1},
		"a placement and an earlier report": {func(l *alloc.Ledger, _ *clock.Manual) {
			l.Grant("a", 1, choice, each)
			l.Report(alloc.Report{Entry: "a", Boot: 1, Seq: 1, Loads: load(1)})
		}, 2},
		"a placement whose answer was lost": {func(l *alloc.Ledger, m *clock.Manual) { l.Grant("a", 1, choice, each); m.Advance(1100) }, 0},
		"two entries": {func(l *alloc.Ledger, _ *clock.Manual) {
			l.Report(alloc.Report{Entry: "a", Boot: 1, Loads: load(1)})
			l.Report(alloc.Report{Entry: "b", Boot: 1, Loads: load(2)})
		}, 3},
		"a late report": {func(l *alloc.Ledger, _ *clock.Manual) {
			l.Report(alloc.Report{Entry: "a", Boot: 1, Seq: 2, Loads: load(1)})
			l.Report(alloc.Report{Entry: "a", Boot: 1, Seq: 1, Loads: load(4)})
		}, 1},
		"an entry that was started again": {func(l *alloc.Ledger, _ *clock.Manual) {
			l.Report(alloc.Report{Entry: "a", Boot: 1, Seq: 9, Loads: load(4)})
			l.Grant("a", 2, choice, each)
		}, 1},
		"an entry that is silent": {func(l *alloc.Ledger, m *clock.Manual) {
			l.Report(alloc.Report{Entry: "a", Boot: 1, Loads: load(4)})
			m.Advance(3100)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			m := &clock.Manual{}
			m.Advance(10000)
			l := &alloc.Ledger{Clock: clock.Clock{Manual: m}}
			c.steps(l, m)
			is := is.New(t)
			peeked, _ := l.Peek()
			w := l.Work()["d"]
			is.Equal(peeked["d"], w)
			is.Equal(w.Requests, c.want)
			is.Equal(w.Held, c.want*each)
		})
	}
}

// TestWaitsAndRejects checks that a request waits at the owner until memory is free,
// that it is rejected once it can't start in time, and that a caller's end ends it.
func TestWaitsAndRejects(t *testing.T) {
	synctest.Test(t, testWaitsAndRejects)
}

func testWaitsAndRejects(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 20, engines(1, 1))
	e := s.entries["e003"]
	var wg sync.WaitGroup
	begun := clock.Clock{}.Now()
	for range pieces / each {
		wg.Go(func() { _, err := s.run(t.Context(), e, 600, 2000); is.NoErr(err) })
	}
	_ = clock.Clock{}.Sleep(t.Context(), 100)
	asked := clock.Clock{}.Now() - begun
	waited, err := s.run(t.Context(), s.entries["e004"], 10, 2000)
	is.NoErr(err)
	const rounding = 2 // of two differences of times
	is.True(asked+waited >= 600-rounding)
	is.True(waited <= 700)
	wg.Wait()
	for range pieces / each {
		wg.Go(func() { _, err := s.run(t.Context(), e, 900, 2000); is.NoErr(err) })
	}
	_ = clock.Clock{}.Sleep(t.Context(), 100)
	waited, err = s.run(t.Context(), s.entries["e005"], 10, 300)
	is.True(codes.Has(err, codes.DeadlineUnmet))
	is.Equal(codes.From(err).Run, codes.NotRun)
	is.True(waited <= 350)
	ctx, cancel := context.WithTimeout(t.Context(), (100 * clock.Millis(1)).Duration())
	defer cancel()
	waited, err = s.run(ctx, s.entries["e006"], 10, 5000)
	is.True(err != nil)
	is.True(waited <= 200)
	wg.Wait()
}

// TestEndedPlacementIsReported checks that the owner soon forgets a placement that has
// ended before it was reported.
func TestEndedPlacementIsReported(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 20, engines(1, 1))
	c := clock.Clock{}
	for i := range 10 {
		_, err := s.run(t.Context(), s.entries[s.list[i].Name], 0, 500)
		is.NoErr(err)
	}
	_ = c.Sleep(t.Context(), 300)
	for _, e := range s.entries {
		for _, w := range e.Ledger.Work() {
			is.Equal(w, pool.Work{})
		}
	}
}
