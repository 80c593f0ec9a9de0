package taint_test

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/taint"
)

// modelSeeds is the number of seeds of each kind of traffic. Six have all sizes.
var modelSeeds = flag.Uint64("model.seeds", 6, "`number` of seeds for TestModel")

// The bounds of the platform, in milliseconds and requests.
const (
	modelWindow  = 3000 // after the crashes that count, until the bound holds
	maxLate      = 3
	partCrashes  = 5
	wholeCrashes = 3
	modelEnd     = 40_000
)

// model plays entries, engines and callers in simulated time. Messages between entries are
// late, lost or doubled.
type model struct {
	rand    *rand.Rand
	manual  *clock.Manual
	now     clock.Millis
	events  []event
	entries []*modelEntry
	engines []*modelEngine
	request uint64
	// deadly tells what crashes engines: parts, or digests of requests.
	deadly map[uint64]bool
	// crashedAt has the instants of the crashes by each deadly part or request, and sentAt
	// those of the sends of requests with it.
	crashedAt, sentAt map[uint64][]clock.Millis
	// sound and refused count the sound requests after the first verdicts, and polled and
	// polledRefused those of one path that is always in use.
	sound, refused, polled, polledRefused int
}

type event struct {
	at clock.Millis
	do func()
}

// modelEntry is an entry with its tables.
type modelEntry struct {
	parts, whole *taint.Table
}

// modelEngine is an engine. Each of its runs has a boot.
type modelEngine struct {
	name    string
	boot    int
	up      bool
	running map[uint64]*modelRequest
}

// modelRequest is a request on an engine.
type modelRequest struct {
	id, digest uint64
	parts      []uint64
	entry      *modelEntry
	marks      [2]uint64
	answered   bool
}

func newModel(seed uint64, entries, engines int) *model {
	m := &model{
		rand: rand.New(rand.NewPCG(seed, 2)), manual: &clock.Manual{},
		deadly: make(map[uint64]bool), crashedAt: make(map[uint64][]clock.Millis), sentAt: make(map[uint64][]clock.Millis),
	}
	m.manual.Advance(clock.Minute)
	c := clock.Clock{Manual: m.manual}
	for i := range entries {
		e := &modelEntry{}
		for _, t := range []**taint.Table{&e.parts, &e.whole} {
			*t = &taint.Table{Self: fmt.Sprint("edge-", i), Clock: c, Meter: &meter.Registry{}}
		}
		e.whole.Whole, e.whole.Parts = true, e.parts
		m.entries = append(m.entries, e)
	}
	for i := range engines {
		m.engines = append(m.engines, &modelEngine{name: fmt.Sprint("g-", i), up: true, running: make(map[uint64]*modelRequest)})
	}
	return m
}

// after schedules do.
func (m *model) after(d clock.Millis, do func()) {
	e := event{at: m.now + d, do: do}
	i, _ := slices.BinarySearchFunc(m.events, e, func(a, b event) int { return cmp.Or(cmp.Compare(a.at, b.at), -1) })
	m.events = slices.Insert(m.events, i, e)
}

// every schedules do again and again, with pauses around d.
func (m *model) every(d clock.Millis, do func()) {
	m.after(clock.Millis(m.rand.Int64N(int64(d)+1)), func() {
		do()
		m.after(d/2, func() { m.every(d, do) })
	})
}

// run plays until the end.
func (m *model) run() {
	for _, from := range m.entries {
		m.every(200, func() { m.gossip(from) })
		m.every(1000, from.whole.Rejudge)
	}
	for len(m.events) > 0 && m.events[0].at < modelEnd {
		e := m.events[0]
		m.events = m.events[1:]
		m.manual.Advance(e.at - m.now)
		m.now = e.at
		e.do()
	}
}

// gossip sends the suspects of an entry to the others.
func (m *model) gossip(from *modelEntry) {
	for _, to := range m.entries {
		if from.parts.Sum() == to.parts.Sum() && from.whole.Sum() == to.whole.Sum() {
			continue
		}
		parts, whole := from.parts.Suspects(), from.whole.Suspects()
		for range []int{1, 0, 1, 1, 1, 2}[m.rand.IntN(6)] {
			m.after(1+clock.Millis(m.rand.IntN(100)), func() { to.parts.Merge(parts); to.whole.Merge(whole) })
		}
	}
}

// blocked reports whether an entry rejects a request, or has no permit to try it. The first
// entry owns the trials.
func (m *model) blocked(e *modelEntry, r *modelRequest) bool {
	owner := m.entries[0]
	for _, c := range []struct {
		own, owner *taint.Table
		ids        []uint64
	}{{e.whole, owner.whole, []uint64{r.digest}}, {e.parts, owner.parts, r.parts}} {
		if _, _, ok := c.own.Quarantined(c.ids); ok {
			return true
		}
		tried := c.own.OnTrial(c.ids)
		if len(tried) == 0 {
			continue
		}
		p := c.owner.Permit(tried)
		if !p.Granted {
			return true
		}
		c.own.Merge(p.Known)
	}
	return false
}

// killer returns the part or digest with which the request crashes engines.
func (m *model) killer(r *modelRequest) (uint64, bool) {
	for _, id := range append([]uint64{r.digest}, r.parts...) {
		if m.deadly[id] {
			return id, true
		}
	}
	return 0, false
}

// send has an entry send a request, and reports whether it was sent.
func (m *model) send(digest uint64, parts ...uint64) bool {
	m.request++
	if digest == 0 {
		digest = 1<<40 + m.request
	}
	e := m.entries[m.rand.IntN(len(m.entries))]
	r := &modelRequest{id: m.request, digest: digest, parts: parts, entry: e}
	var up []*modelEngine
	for _, g := range m.engines {
		if g.up {
			up = append(up, g)
		}
	}
	if len(up) == 0 {
		return true // not a decision of the entry
	}
	if m.blocked(e, r) {
		return false
	}
	g := up[m.rand.IntN(len(up))]
	r.marks = [2]uint64{e.parts.Mark(), e.whole.Mark()}
	g.running[r.id] = r
	boot := g.boot
	runs := func() bool { return g.up && g.boot == boot }
	if k, ok := m.killer(r); ok {
		m.sentAt[k] = append(m.sentAt[k], m.now)
	}
	m.after(50+clock.Millis(m.rand.IntN(100)), func() {
		if k, ok := m.killer(r); ok && runs() {
			m.crashedAt[k] = append(m.crashedAt[k], m.now)
			m.crash(g)
		}
	})
	m.after(350, func() {
		if runs() {
			r.answered = true
			e.parts.Clear(r.parts)
		}
	})
	m.after(500+clock.Millis(m.rand.IntN(500)), func() {
		if runs() {
			delete(g.running, r.id)
			e.whole.Clear([]uint64{r.digest})
		}
	})
	return true
}

// crash ends an engine, which is back after a while. Each entry finds out on its own.
func (m *model) crash(g *modelEngine) {
	if !g.up {
		return
	}
	lost, boot := g.running, fmt.Sprint(g.boot)
	g.up, g.running = false, make(map[uint64]*modelRequest)
	m.after(2000, func() { g.up = true; g.boot++ })
	for _, id := range slices.Sorted(maps.Keys(lost)) {
		r := lost[id]
		m.after(1+clock.Millis(m.rand.IntN(60)), func() {
			loss := taint.Loss{Upstream: g.name, Boot: boot, Digest: r.digest, Parts: r.parts, Mark: r.marks[0]}
			if !r.answered {
				r.entry.parts.AddCrash(loss)
			}
			loss.Parts, loss.Mark = []uint64{r.digest}, r.marks[1]
			r.entry.whole.AddCrash(loss)
		})
	}
}

// late returns how many requests with what is deadly were sent later than the window after
// its crash number n.
func (m *model) late(deadly uint64, n int) int {
	if len(m.crashedAt[deadly]) < n {
		return 0
	}
	late := 0
	for _, at := range m.sentAt[deadly] {
		if at > m.crashedAt[deadly][n-1]+modelWindow {
			late++
		}
	}
	return late
}

// TestModel plays traffic in which some parts of prompts, a request or nothing is deadly. It
// checks that few deadly requests are sent once it can be known, and that sound requests,
// some of which share their caller's part or a path, are hardly refused after a while.
func TestModel(t *testing.T) {
	const caller, other, deadly, deadly2, poison, path = 0x1, 0x2, 0xbad, 0xbad2, 0xdead, 0x9a7
	sound := func(m *model, c uint64) {
		served := m.send(0, c, 0x50+m.rand.Uint64N(3))
		if m.now > 15_000 {
			m.sound++
			if !served {
				m.refused++
			}
		}
	}
	for name, c := range map[string]struct {
		// burst is the number of deadly requests at a time, and pause the time between.
		burst  int
		pause  clock.Millis
		deadly []uint64
		// crashes is the pause between crashes of engines of another cause, 0 for none, and
		// rack the share of the engines that they take.
		crashes clock.Millis
		rack    float64
		// callers is the number of callers whose requests are deadly.
		callers int
	}{
		"nothing":                       {},
		"ordinary crashes":              {crashes: 3000, rack: 0.1},
		"racks that fail":               {crashes: 8000, rack: 0.5},
		"single deadly requests":        {burst: 1, pause: 500, deadly: []uint64{deadly}, callers: 1},
		"bursts":                        {burst: 6, pause: 5000, deadly: []uint64{deadly}, callers: 1},
		"larger bursts":                 {burst: 12, pause: 2500, deadly: []uint64{deadly}, callers: 1},
		"two callers":                   {burst: 6, pause: 4000, deadly: []uint64{deadly}, callers: 2},
		"two parts":                     {burst: 6, pause: 4000, deadly: []uint64{deadly, deadly2}, callers: 1},
		"bursts beside crashes":         {burst: 6, pause: 4000, deadly: []uint64{deadly}, callers: 1, crashes: 3000, rack: 0.1},
		"bursts beside racks that fail": {burst: 6, pause: 4000, deadly: []uint64{deadly}, callers: 1, crashes: 8000, rack: 0.5},
		"a request":                     {burst: 1, pause: 1500, deadly: []uint64{poison}},
		"a request at many entries":     {burst: 4, pause: 4000, deadly: []uint64{poison}},
		"a request beside crashes":      {burst: 1, pause: 1500, deadly: []uint64{poison}, crashes: 3000, rack: 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var total model
			losses, latest := 0, 0
			for seed := range *modelSeeds {
				m := newModel(seed, []int{3, 9}[seed%2], []int{2, 8, 20}[seed%3])
				for _, d := range c.deadly {
					m.deadly[d] = true
				}
				m.every(125, func() { sound(m, caller) })
				m.every(250, func() { sound(m, other) })
				m.every(120, func() {
					served := m.send(path)
					if m.now > 15_000 {
						m.polled++
						if !served {
							m.polledRefused++
						}
					}
				})
				m.after(clock.Millis(seed%2*6000), func() {
					if c.burst == 0 {
						return
					}
					m.every(c.pause, func() {
						for i := range c.burst {
							d := c.deadly[i%len(c.deadly)]
							if d == poison {
								m.send(poison)
								continue
							}
							m.send(0, []uint64{caller, other}[i%c.callers], d)
						}
					})
				})
				if c.crashes > 0 {
					m.every(c.crashes, func() {
						for _, g := range m.engines {
							if m.rand.Float64() < c.rack {
								m.crash(g)
							}
						}
					})
				}
				m.run()
				for _, d := range c.deadly {
					n := partCrashes
					if d == poison {
						n = wholeCrashes
					}
					losses += len(m.crashedAt[d])
					latest = max(latest, m.late(d, n))
					if late := m.late(d, n); late > maxLate {
						t.Errorf("seed %d: %d requests with %x sent late, %d may be", seed, late, d, maxLate)
					}
				}
				total.sound += m.sound
				total.refused += m.refused
				total.polled += m.polled
				total.polledRefused += m.polledRefused
				if 2*m.refused > m.sound || 4*m.polledRefused > m.polled {
					t.Errorf("seed %d: %d of %d sound requests refused, %d of %d on one path", seed, m.refused, m.sound, m.polledRefused, m.polled)
				}
			}
			t.Logf("crashes by deadly requests %d, late at most %d; sound refused %d of %d, on one path %d of %d",
				losses, latest, total.refused, total.sound, total.polledRefused, total.polled)
			is.True(total.refused*20 < total.sound)
			is.True(total.polledRefused*20 < total.polled)
		})
	}
}
