package member_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/member"
)

const peerName = "weyburn-1"

// world is one peer as it truly is, and a table that learns of it through
// lost beats, late beats and a lagging list.
type world struct {
	clock   *clock.Manual
	table   *member.Table
	boot    uint64 // zero while the peer is dead
	began   clock.Millis
	boots   uint64
	beats   []member.Beat
	history []state
	// answers are under way. lied says that a list had the peer as dead while
	// it lived, and failing is the first beat that failed since an answer.
	answers []answer
	lied    bool
	failing clock.Millis
}

type answer struct {
	beat  member.Beat
	asked clock.Millis
}

// state is what was true from an instant on.
type state struct {
	at   clock.Millis
	boot uint64
}

func newWorld() *world {
	m := &clock.Manual{}
	m.Advance(clock.Minute)
	w := &world{clock: m, table: &member.Table{
		Clock: clock.Clock{Manual: m}, Self: core.Instance{Name: "moose-jaw-1"},
	}}
	w.set(0)
	w.start()
	return w
}

func (w *world) now() clock.Millis { return w.clock.Now() }

func (w *world) set(boot uint64) {
	w.boot = boot
	w.history = append(w.history, state{w.now(), boot})
}

func (w *world) start() {
	w.boots++
	w.began = w.now()
	w.set(w.boots)
}

func (w *world) beat() member.Beat {
	b := member.Beat{
		Instance: core.Instance{Name: peerName, Peer: "10.0.0.1:1", State: core.Live},
		Boot:     w.boot, Turn: int64(w.began),
	}
	w.beats = append(w.beats, b)
	return b
}

// ask sends a beat that is answered later or lost.
func (w *world) ask(lost bool) {
	if w.boot == 0 || lost {
		w.table.Failed(peerName, w.now())
		if w.failing == 0 {
			w.failing = w.now()
		}
		return
	}
	w.answers = append(w.answers, answer{w.beat(), w.now()})
}

// deliver hands over the i-th answer under way.
func (w *world) deliver(i int) {
	a := w.answers[i]
	w.answers = append(w.answers[:i], w.answers[i+1:]...)
	w.table.Answered(a.beat, a.asked)
	w.failing = 0
}

// list reads a list whose data is as old as age.
func (w *world) list(age clock.Millis) {
	in := core.Instance{Name: peerName, Peer: "10.0.0.1:1", State: core.Dead}
	for _, s := range w.history {
		if s.at > w.now()-age {
			break
		}
		in.State = core.Live
		if s.boot == 0 {
			in.State = core.Dead
		}
	}
	w.table.List(core.Listing{Age: age, Instances: []core.Instance{in}})
}

func (w *world) owner(boot uint64) core.State {
	return w.table.Owner(core.Owner{Instance: peerName, Boot: boot})
}

// TestOwnerIsDeadOnlyIfItIs drives the peer through restarts, lost, late and
// crossed beats and a list that lags and lies, in any order. A run that lives
// is never called dead but by a list that lies while all beats fail; one that
// has ended is, once the witnesses have spoken.
func TestOwnerIsDeadOnlyIfItIs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld()
		rt.Repeat(map[string]func(*rapid.T){
			"wait": func(rt *rapid.T) { w.clock.Advance(clock.Millis(rapid.IntRange(1, 4000).Draw(rt, "ms"))) },
			"kill": func(*rapid.T) { w.set(0) },
			"restart": func(rt *rapid.T) {
				w.set(0)
				w.clock.Advance(clock.Millis(rapid.IntRange(1, 3000).Draw(rt, "down")))
				w.start()
			},
			"ask": func(rt *rapid.T) { w.ask(rapid.Bool().Draw(rt, "lost")) },
			"deliver": func(rt *rapid.T) {
				if n := len(w.answers); n > 0 {
					w.deliver(rapid.IntRange(0, n-1).Draw(rt, "answer"))
				}
			},
			"list lies": func(*rapid.T) {
				w.lied = true
				w.table.List(core.Listing{Instances: []core.Instance{{Name: peerName, Peer: "10.0.0.1:1", State: core.Dead}}})
			},
			"late beat": func(rt *rapid.T) {
				if len(w.beats) > 0 {
					w.table.Heard(rapid.SampledFrom(w.beats).Draw(rt, "beat"))
				}
			},
			"list": func(rt *rapid.T) { w.list(clock.Millis(rapid.IntRange(0, 5000).Draw(rt, "age"))) },
			"": func(rt *rapid.T) {
				failed := w.failing != 0 && w.now()-w.failing >= member.DeadAfter
				if w.boot != 0 && w.owner(w.boot) == core.Dead && !(w.lied && failed) {
					rt.Fatalf("run %d lives and is called dead", w.boot)
				}
			},
		})
		w.set(0)
		for boot := range w.boots {
			w.owner(boot + 1)
		}
		for range 5 {
			w.clock.Advance(2 * clock.Second)
			w.list(100)
			w.ask(true)
		}
		for boot := range w.boots {
			if w.owner(boot+1) != core.Dead {
				rt.Fatalf("run %d of %d has ended and is not called dead", boot+1, w.boots)
			}
		}
	})
}

func TestOwnerOfAnUnknownInstance(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	table := &member.Table{Clock: clock.Clock{Manual: m}, Self: core.Instance{Name: "a"}, Boot: 5}
	o := core.Owner{Instance: "gone", Boot: 1}
	is.Equal(table.Owner(o), core.Live) // asked for the first time
	m.Advance(member.UnknownAfter)
	table.List(core.Listing{})
	is.Equal(table.Owner(o), core.Live)
	m.Advance(clock.Second)
	table.List(core.Listing{Age: 2 * clock.Second}) // as old as before
	is.Equal(table.Owner(o), core.Live)
	table.List(core.Listing{})
	is.Equal(table.Owner(o), core.Dead)
	is.Equal(table.Owner(core.Owner{Instance: "a", Boot: 5}), core.Live)
	is.Equal(table.Owner(core.Owner{Instance: "a", Boot: 4}), core.Dead) // a former run of this entry
}

func TestAddresses(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	table := &member.Table{Clock: clock.Clock{Manual: m}, Self: core.Instance{Name: "a", Addr: "a", Centre: "x"}}
	var l core.Listing
	for _, name := range []string{"b", "c", "d", "e"} {
		l.Instances = append(l.Instances, core.Instance{Name: name, Addr: name, Peer: name, Centre: "x", State: core.Live})
	}
	l.Instances[1].Centre = "y"
	l.Instances[2].State = core.Leaving
	l.Instances[3].State = core.Dead
	table.List(l)
	beat := func(in core.Instance, load int, turn int64) {
		table.Answered(member.Beat{Instance: in, Boot: 1, Load: load, Turn: turn}, m.Now())
	}
	beat(l.Instances[0], 9, 1)
	first := make(map[string]int)
	const asks = 2000
	for range asks {
		addrs := table.Addresses()
		is.Equal(len(addrs), 3)
		is.Equal(addrs[2], "c") // the other data centre comes last
		first[addrs[0]]++
	}
	is.True(first["a"] > 5*first["b"]) // ten times the load is first a tenth as often
	is.True(first["b"] > 0)
	left := l.Instances[0]
	left.State = core.Leaving
	beat(left, 0, 2)
	beat(l.Instances[0], 0, 1) // a late beat of the former state
	is.Equal(len(table.Addresses()), 2)
	table.Failed("c", m.Now())
	table.Failed("c", m.Now())
	is.Equal(table.Addresses(), []string{"a"})
}
