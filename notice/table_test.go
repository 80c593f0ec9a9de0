package notice_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/notice"
)

// drain is the time that a leaving replica may still be used.
const drain = 2 * clock.Second

// up returns the upstream with the given name.
func up(name string) core.Upstream { return core.Upstream{Name: name, Addr: "10.0.0.1:80"} }

// listed returns a list with one run of a replica.
func listed(name string, incarnation int64) []core.Replica {
	return []core.Replica{{Upstream: up(name), Incarnation: incarnation}}
}

// expected is what a table must know of one replica, kept without regard to memory.
type expected struct {
	listed      bool
	incarnation int64
	// since and goneAt are the instants at which the run was first listed, and at
	// which the replica was last removed.
	since, goneAt clock.Millis
	// stated is the instant of the first answer of this run that stated that it
	// leaves, negative if there is none.
	stated      clock.Millis
	pausedAt    clock.Millis
	pausedUntil clock.Millis
	// replacedUntil is the end of the time in which another replica bars this one.
	replacedUntil clock.Millis
	// words holds the instants of the answers that peers told of, by incarnation.
	words map[int64][]clock.Millis
}

// startRun begins a run.
func (e *expected) startRun(now clock.Millis, incarnation int64) {
	e.listed, e.incarnation, e.since = true, incarnation, now
	e.stated, e.pausedAt, e.pausedUntil, e.replacedUntil = -1, 0, 0, 0
}

// TestRandomEvents applies random sequences of answers, lists, words of peers, restarts
// and removals, and checks what applies to each replica after each event: one that has
// stated that it leaves is barred from the end of the drain time until a new run of it
// is listed, whatever the list and the peers say; a pause bars until its end, another
// replica at the address for 5 s or until a new run is listed; and nothing
// else bars a replica, nor makes it one that leaves.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(27, seed))
		draw := func(n clock.Millis) clock.Millis { return clock.Millis(random.Int64N(int64(n))) }
		m := &clock.Manual{}
		m.Advance(60 * clock.Minute)
		table := &notice.Table{Self: "edge-1", Drain: drain, Clock: clock.Clock{Manual: m}}
		names := []string{"d-0", "d-1", "d-2"}
		all := make(map[string]*expected)
		for _, name := range names {
			all[name] = &expected{words: make(map[int64][]clock.Millis)}
			all[name].startRun(m.Now(), 100)
		}
		apply := func() {
			var list []core.Replica
			for _, name := range names {
				if e := all[name]; e.listed {
					list = append(list, core.Replica{Upstream: up(name), Incarnation: e.incarnation})
				}
			}
			table.Apply(list)
		}
		apply()
		var history []string
		for range 120 {
			name := names[random.IntN(len(names))]
			e := all[name]
			now := m.Now()
			event := ""
			switch random.IntN(9) {
			case 0:
				event = "answer: leaves"
				sent := now - draw(200)
				if e.listed && sent >= e.since && e.stated < 0 {
					e.stated = now
				}
				if e.listed {
					table.OnNotice(up(name), core.ReplicaNotice{Sent: sent, Leaving: true})
				}
			case 1:
				d := 300 + draw(4700)
				end := now + d + 1 // instants are rounded down
				sent := now - draw(200)
				event = fmt.Sprint("answer: pause of ", d)
				if e.listed && sent >= e.since {
					if now < e.pausedUntil && sent < e.pausedAt {
						e.pausedUntil = max(e.pausedUntil, end)
					} else {
						e.pausedAt, e.pausedUntil = now, end
					}
				}
				if e.listed {
					table.OnNotice(up(name), core.ReplicaNotice{Sent: sent, Pause: d})
				}
			case 2:
				event = "list"
				apply()
			case 3:
				event = "restart"
				if e.listed {
					e.startRun(now, e.incarnation+1)
					apply()
				}
			case 4:
				event = "removal"
				if e.listed {
					e.listed, e.goneAt = false, now
					apply()
				}
			case 5:
				event = "return"
				if !e.listed {
					if now-e.goneAt >= 30*clock.Second {
						e.startRun(now, e.incarnation)
					}
					e.listed = true
					apply()
				}
			case 6:
				age := draw(40 * clock.Second)
				run := e.incarnation + random.Int64N(3) - 1
				event = fmt.Sprint("word of run ", run, " of age ", age)
				e.words[run] = append(e.words[run], now-age)
				table.HandleWords([]notice.Word{{Replica: name, Incarnation: run, Source: "edge-2", Age: age}})
			case 7:
				if random.IntN(4) > 0 {
					continue
				}
				event = "another replica answers"
				if e.listed {
					e.stated, e.pausedAt, e.pausedUntil = -1, 0, 0
					e.replacedUntil = now + 5*clock.Second
					table.OnNotice(up(name), core.ReplicaNotice{Sent: now, Other: "x"})
				}
			case 8:
				d := draw(3000)
				if random.IntN(10) == 0 {
					d *= 12
				}
				event = fmt.Sprint("after ", d)
				m.Advance(d)
			}
			history = append(history, fmt.Sprint(name, " ", event))
			now = m.Now()
			for _, name := range names {
				e := all[name]
				if !e.listed {
					continue // it can't be chosen
				}
				got := table.Status(name)
				replaced := now < e.replacedUntil
				leaves := e.stated >= 0 || replaced
				paused := now < e.pausedUntil
				barred := paused || replaced || leaves && now-e.stated >= drain
				heard, never := false, true
				for run, times := range e.words {
					for _, at := range times {
						if run == e.incarnation && now-at < 30*clock.Second {
							never = false
							// A word isn't replaced by one that is little newer.
							heard = heard || now-at < 29*clock.Second
						}
					}
				}
				switch {
				case got.Barred != barred,
					leaves && (!got.Leaving || got.Source != "edge-1"),
					paused != (got.PausedUntil > 0),
					!leaves && heard && len(e.words) == 1 && !got.Leaving,
					!leaves && never && got.Leaving:
					t.Fatalf("seed %d, %s: got %+v, want leaving %v, barred %v, paused %v, heard %v\n%q", seed, name, got, leaves, barred, paused, heard, history)
				}
			}
		}
	}
}

// TestLinesAreBounded checks that a replica that repeats a statement in each answer
// causes one line for it, and that the metrics count the same.
func TestLinesAreBounded(t *testing.T) {
	is := is.New(t)
	logCore, logs := observer.New(zap.InfoLevel)
	m := &clock.Manual{}
	resumed := 0
	table := &notice.Table{Self: "edge-1", Clock: clock.Clock{Manual: m}, Log: zap.New(logCore), Meter: &meter.Registry{}, OnResume: func() { resumed++ }}
	table.Apply(listed("d-0", 1))
	for range 100 {
		m.Advance(10)
		table.OnNotice(up("d-0"), core.ReplicaNotice{Sent: m.Now(), Leaving: true, Pause: 500, Unreadable: ""})
		table.OnNotice(up("d-0"), core.ReplicaNotice{Sent: m.Now(), Unreadable: "soon"})
	}
	m.Advance(1000)
	for message, n := range map[string]int{
		"notice: replica states that it leaves": 1, "notice: replica asked for a pause": 1, "notice: pause ended": 1,
		"notice: replica asked for a pause that can't be read; ignored": 1,
	} {
		is.Equal(logs.FilterMessage(message).Len(), n)
	}
	is.Equal(resumed, 1)
	for _, name := range []string{"replicas_leaving_total", "replica_pauses_total", "unreadable_pauses_total"} {
		is.Equal(table.Meter.Value(name), uint64(1))
	}
}

// TestPauseIsBounded guards against a replica that is lost for good because it asked
// for a pause of days.
func TestPauseIsBounded(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	table := &notice.Table{Clock: clock.Clock{Manual: m}}
	table.Apply(listed("d-0", 1))
	table.OnNotice(up("d-0"), core.ReplicaNotice{Sent: m.Now(), Pause: 4 * 24 * 60 * clock.Minute})
	is.True(table.Status("d-0").Barred)
	m.Advance(notice.MaxPause)
	is.True(table.Status("d-0").Barred)
	m.Advance(1)
	is.Equal(table.Status("d-0"), notice.Status{})
	is.Equal(len(table.Names()), 0)
}

// TestPauseEndsNoEarlier guards against a pause that ends up to 1 ms early, since
// instants are rounded down to whole milliseconds.
func TestPauseEndsNoEarlier(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	table := &notice.Table{Clock: clock.Clock{Manual: m}}
	table.Apply(listed("d-0", 1))
	table.OnNotice(up("d-0"), core.ReplicaNotice{Sent: m.Now(), Pause: 300}) // at 0.9 ms
	m.Advance(300)                                                           // 300.1 ms
	is.True(table.Status("d-0").Barred)
	m.Advance(1)
	is.True(!table.Status("d-0").Barred)
}

// TestWordsArePassedOn passes a word along a ring of tables that forward what they hear.
// All must know it, and it must end although they keep telling it each other.
func TestWordsArePassedOn(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	var ring []*notice.Table
	for i := range 5 {
		table := &notice.Table{Self: fmt.Sprint("edge-", i), Clock: clock.Clock{Manual: m}}
		table.Apply(listed("d-0", 1))
		ring = append(ring, table)
	}
	ring[0].OnNotice(up("d-0"), core.ReplicaNotice{Sent: m.Now(), Leaving: true})
	pass := func(delay clock.Millis) {
		for i, table := range ring {
			words := table.WordsFor("next", true)
			m.Advance(delay)
			ring[(i+1)%len(ring)].HandleWords(words)
		}
	}
	pass(20)
	for _, table := range ring[1:] {
		s := table.Status("d-0")
		is.True(s.Leaving)
		is.True(!s.Barred)
		is.Equal(s.Source, "edge-0")
	}
	for range 350 {
		pass(20)
	}
	for _, table := range ring[1:] {
		is.Equal(table.Status("d-0"), notice.Status{})
	}
	is.True(ring[0].Status("d-0").Barred)
}

// TestRefusedConnectionsAreTold checks that a refused connection makes a replica the last
// choice at all entries, never bars it, and ends by itself although they keep telling each
// other, or with a new run.
func TestRefusedConnectionsAreTold(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	m.Advance(clock.Minute)
	told := 0
	var all []*notice.Table
	for i := range 3 {
		table := &notice.Table{Self: fmt.Sprint("edge-", i), Clock: clock.Clock{Manual: m}, OnLeaving: func() { told++ }}
		table.Apply(listed("d-0", 1))
		all = append(all, table)
	}
	pass := func() (news bool) {
		for i := range all[1:] {
			news = all[i+1].HandleRefused(all[i].Refused(true)) || news
			news = all[i].HandleRefused(all[i+1].Refused(true)) || news
		}
		return news
	}
	for range 5 {
		all[0].OnNotice(up("d-0"), core.ReplicaNotice{Sent: m.Now(), Refused: true})
	}
	is.Equal(told, 1)
	is.True(pass())
	is.True(!pass())
	is.Equal(len(all[1].Refused(false)), 0) // where all tell all, only its own
	for _, table := range all {
		s := table.Status("d-0")
		is.True(s.Leaving && !s.Barred)
		is.Equal(s.Source, "edge-0")
	}
	all[2].Apply(listed("d-0", 2))
	is.Equal(all[2].Status("d-0"), notice.Status{})
	for range 15 {
		m.Advance(100)
		pass()
	}
	for _, table := range all {
		is.Equal(table.Status("d-0"), notice.Status{})
		is.Equal(len(table.Refused(true)), 0)
	}
	is.True(!all[1].HandleRefused([]notice.Word{{Replica: "d-0", Source: "x", Age: 2000}, {Replica: "d-0"}}))
	m.Advance(10 * clock.Second)
	all[1].HandleRefused(nil)
	is.Equal(len(all[1].Names()), 0)
}

// TestRefusedWordsEndWithDelays guards against a storm of messages: words that take some
// time on their way reached entries at which they had just ended, were taken for news, and
// were passed on again. Each entry must pass on one refused connection once.
func TestRefusedWordsEndWithDelays(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 31))
		m := &clock.Manual{}
		m.Advance(clock.Minute)
		c := clock.Clock{Manual: m}
		const n, neighbours = 40, 10
		var all []*notice.Table
		for i := range n {
			table := &notice.Table{Self: fmt.Sprint("edge-", i), Clock: c}
			table.Apply(listed("d-0", 1))
			all = append(all, table)
		}
		links := make([][]int, n)
		for i := range links {
			links[i] = r.Perm(n)[:neighbours]
		}
		waves, heartbeats := 0, 0
		var tell func(i int)
		tell = func(i int) {
			words := all[i].Refused(true)
			for _, to := range links[i] {
				heartbeats++
				// Busy entries handle a message late.
				c.AfterFunc(5+clock.Millis(r.IntN(300)), func() {
					if all[to].HandleRefused(words) && heartbeats < 50*n*neighbours {
						waves++
						tell(to)
					}
				})
			}
		}
		all[0].OnNotice(up("d-0"), core.ReplicaNotice{Sent: m.Now(), Refused: true})
		tell(0)
		for range 800 {
			m.Advance(10)
			if m.Now()%1000 == 0 {
				for i := range all {
					tell(i) // the regular heartbeat
				}
			}
		}
		if waves > n {
			t.Fatalf("seed %d: one refused connection was passed on %d times by %d entries", seed, waves, n)
		}
		for _, table := range all {
			is.New(t).Equal(table.Status("d-0"), notice.Status{})
		}
	}
}

// TestWordsAreToldOnce checks when a peer is told that a replica leaves: once, in parts of a
// message's size, again if it may not know of it, and once more after a while.
func TestWordsAreToldOnce(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	const (
		count = 50
		most  = 32 // words in one message
	)
	c := clock.Clock{Manual: m}
	from, to := &notice.Table{Self: "a", Clock: c}, &notice.Table{Self: "b", Clock: c}
	var list []core.Replica
	for i := range count {
		list = append(list, core.Replica{Upstream: core.Upstream{Name: fmt.Sprint("i-", i)}, Incarnation: 1})
	}
	from.Apply(list)
	to.Apply(list)
	for _, r := range list {
		from.OnNotice(r.Upstream, core.ReplicaNotice{Sent: c.Now(), Leaving: true})
	}
	tell := func() int {
		words := from.WordsFor("b", true)
		to.HandleWords(words)
		return len(words)
	}
	is.Equal(tell(), most)
	from.Unsent("b")
	is.Equal(tell(), most)
	is.Equal(tell(), count-most)
	is.Equal(tell(), 0)
	for _, r := range list {
		is.True(to.Status(r.Name).Leaving)
	}
	from.ForgetPeer("b")
	is.Equal(tell()+tell(), count)
	is.Equal(tell(), 0)
	m.Advance(15 * clock.Second)
	is.Equal(tell()+tell(), count)
}
