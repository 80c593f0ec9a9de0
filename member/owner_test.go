package member_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/member"
)

// peerName is the name of the simulated peer.
const peerName = "weyburn-1"

// simulation holds the true state of one peer, and a table that observes it
// through lost and late heartbeats and a delayed list.
type simulation struct {
	clock      *clock.Manual
	table      *member.Table
	boot       uint64 // zero while the peer is dead
	startedAt  clock.Millis
	boots      uint64
	heartbeats []member.Heartbeat
	history    []runChange
	// answers are in flight. falseList is set once a list had the peer as dead
	// while it was alive, and failingSince is the instant at which the first
	// heartbeat since the last answer failed; zero means none.
	answers      []answer
	falseList    bool
	failingSince clock.Millis
}

// answer is an answer in flight to a heartbeat sent at sentAt.
type answer struct {
	heartbeat member.Heartbeat
	sentAt    clock.Millis
}

// runChange is the run that was alive from the instant at; boot zero means none.
type runChange struct {
	at   clock.Millis
	boot uint64
}

// newSimulation returns a simulation with a live peer.
func newSimulation() *simulation {
	m := &clock.Manual{}
	m.Advance(clock.Minute)
	s := &simulation{clock: m, table: &member.Table{
		Clock: clock.Clock{Manual: m}, Self: core.Instance{Name: "moose-jaw-1"},
	}}
	s.set(0)
	s.start()
	return s
}

// now returns the simulated time.
func (s *simulation) now() clock.Millis { return s.clock.Now() }

// set makes the run boot the live one, from now on; zero means none.
func (s *simulation) set(boot uint64) {
	s.boot = boot
	s.history = append(s.history, runChange{s.now(), boot})
}

// start starts a new run of the peer.
func (s *simulation) start() {
	s.boots++
	s.startedAt = s.now()
	s.set(s.boots)
}

// newHeartbeat returns the present heartbeat of the peer.
func (s *simulation) newHeartbeat() member.Heartbeat {
	h := member.Heartbeat{
		Instance: core.Instance{Name: peerName, Peer: "10.0.0.1:1", State: core.Live},
		Boot:     s.boot, StateTime: int64(s.startedAt),
	}
	s.heartbeats = append(s.heartbeats, h)
	return h
}

// sendHeartbeat sends a heartbeat to the peer. It fails if the peer is dead or the
// heartbeat is lost; otherwise its answer is delivered later.
func (s *simulation) sendHeartbeat(lost bool) {
	if s.boot == 0 || lost {
		s.table.RecordFailure(peerName, s.now())
		if s.failingSince == 0 {
			s.failingSince = s.now()
		}
		return
	}
	s.answers = append(s.answers, answer{s.newHeartbeat(), s.now()})
}

// deliver passes the i-th answer in flight to the table.
func (s *simulation) deliver(i int) {
	a := s.answers[i]
	s.answers = append(s.answers[:i], s.answers[i+1:]...)
	s.table.HandleAnswer(a.heartbeat, a.sentAt)
	s.failingSince = 0
}

// list passes a list to the table whose data is of the given age.
func (s *simulation) list(age clock.Millis) {
	in := core.Instance{Name: peerName, Peer: "10.0.0.1:1", State: core.Dead}
	for _, change := range s.history {
		if change.at > s.now()-age {
			break
		}
		in.State = core.Live
		if change.boot == 0 {
			in.State = core.Dead
		}
	}
	s.table.ApplyList(core.Listing{Age: age, Instances: []core.Instance{in}})
}

// owner returns the state of a run of the peer, as the table has it.
func (s *simulation) owner(boot uint64) core.InstanceState {
	return s.table.OwnerState(core.Owner{Instance: peerName, Boot: boot})
}

// TestOwnerState simulates restarts, lost, late and overlapping heartbeats, and a
// delayed and sometimes wrong list, in any order. A live run may be reported dead
// only after a wrong list and while all heartbeats fail. A run that has ended must
// be reported dead once the list has it as dead and its heartbeats have failed.
func TestOwnerState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation()
		rt.Repeat(map[string]func(*rapid.T){
			"wait": func(rt *rapid.T) { s.clock.Advance(clock.Millis(rapid.IntRange(1, 4000).Draw(rt, "ms"))) },
			"kill": func(*rapid.T) { s.set(0) },
			"restart": func(rt *rapid.T) {
				s.set(0)
				s.clock.Advance(clock.Millis(rapid.IntRange(1, 3000).Draw(rt, "down")))
				s.start()
			},
			"call": func(rt *rapid.T) { s.sendHeartbeat(rapid.Bool().Draw(rt, "lost")) },
			"deliver": func(rt *rapid.T) {
				if n := len(s.answers); n > 0 {
					s.deliver(rapid.IntRange(0, n-1).Draw(rt, "answer"))
				}
			},
			"list reports a live peer dead": func(*rapid.T) {
				s.falseList = true
				s.table.ApplyList(core.Listing{Instances: []core.Instance{{Name: peerName, Peer: "10.0.0.1:1", State: core.Dead}}})
			},
			"late heartbeat": func(rt *rapid.T) {
				if len(s.heartbeats) > 0 {
					s.table.HandleHeartbeat(rapid.SampledFrom(s.heartbeats).Draw(rt, "heartbeat"))
				}
			},
			"list": func(rt *rapid.T) { s.list(clock.Millis(rapid.IntRange(0, 5000).Draw(rt, "age"))) },
			"": func(rt *rapid.T) {
				failed := s.failingSince != 0 && s.now()-s.failingSince >= member.DeadAfter
				if s.boot != 0 && s.owner(s.boot) == core.Dead && !(s.falseList && failed) {
					rt.Fatalf("run %d is alive but reported dead", s.boot)
				}
			},
		})
		s.set(0)
		for boot := range s.boots {
			s.owner(boot + 1)
		}
		for range 5 {
			s.clock.Advance(2 * clock.Second)
			s.list(100)
			s.sendHeartbeat(true)
		}
		for boot := range s.boots {
			if s.owner(boot+1) != core.Dead {
				rt.Fatalf("run %d of %d has ended but is not reported dead", boot+1, s.boots)
			}
		}
	})
}

// TestOwnerOfAnUnknownInstance queries an owner on an instance without a
// record: it is dead only once the list's data is UnknownAfter newer than the
// first query.
func TestOwnerOfAnUnknownInstance(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	table := &member.Table{Clock: clock.Clock{Manual: m}, Self: core.Instance{Name: "a"}, Boot: 5}
	o := core.Owner{Instance: "gone", Boot: 1}
	is.Equal(table.OwnerState(o), core.Live) // first query
	m.Advance(member.UnknownAfter)
	table.ApplyList(core.Listing{})
	is.Equal(table.OwnerState(o), core.Live)
	m.Advance(clock.Second)
	table.ApplyList(core.Listing{Age: 2 * clock.Second}) // data of the same age as before
	is.Equal(table.OwnerState(o), core.Live)
	table.ApplyList(core.Listing{})
	is.Equal(table.OwnerState(o), core.Dead)
	is.Equal(table.OwnerState(core.Owner{Instance: "a", Boot: 5}), core.Live)
	is.Equal(table.OwnerState(core.Owner{Instance: "a", Boot: 4}), core.Dead) // a former run of this entry
}

// TestAddresses checks the order of the addresses by data centre and load, and
// that leaving, dead and failing entries are omitted. Leaving ones still count as
// running.
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
	table.ApplyList(l)
	answer := func(in core.Instance, load int, stateTime int64) {
		table.HandleAnswer(member.Heartbeat{Instance: in, Boot: 1, Load: load, StateTime: stateTime}, m.Now())
	}
	answer(l.Instances[0], 9, 1)
	first := make(map[string]int)
	const calls = 2000
	for range calls {
		addrs := table.Addresses()
		is.Equal(len(addrs), 3)
		is.Equal(addrs[2], "c") // the other data centre comes last
		first[addrs[0]]++
	}
	is.True(first["a"] > 5*first["b"]) // with ten times the load, first a tenth as often
	is.True(first["b"] > 0)
	leaving := l.Instances[0]
	leaving.State = core.Leaving
	answer(leaving, 0, 2)
	answer(l.Instances[0], 0, 1) // a late heartbeat with the former state
	is.Equal(len(table.Addresses()), 2)
	table.RecordFailure("c", m.Now())
	table.RecordFailure("c", m.Now())
	is.Equal(table.Addresses(), []string{"a"})
	var running, live []string
	for _, in := range table.Running() {
		running = append(running, in.Name)
	}
	for _, in := range table.Live() {
		live = append(live, in.Name)
	}
	is.Equal(running, []string{"a", "b", "d"})
	is.Equal(live, []string{"a"})
}
