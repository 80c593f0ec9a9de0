package watch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/notify"
	"lacewinghook.example/lacewinghook/watch"
)

// member is an entry that exchanges its state with a few neighbours.
type member struct {
	*watch.Watcher
	turn       watch.Turn
	neighbours []*member
	changed    notify.Signal
	got        *applied
	stop       context.CancelFunc
	// cut is set while the member reaches neither the store nor its neighbours.
	cut atomic.Bool

	mu sync.Mutex
	// heard holds the last state of each neighbour.
	heard map[*member]watch.PeerState
}

// Relayed implements [watch.Peers].
func (m *member) Relayed() bool { return m.turn.Relayed }

// Turn implements [watch.Peers].
func (m *member) Turn() watch.Turn { return m.turn }

// Snapshot implements [watch.Peers]. It returns the copy of a neighbour with the newest
// table, or a newer list, as [gossip.Ahead] does.
func (m *member) Snapshot(_ context.Context, have watch.PeerState, entries bool) (watch.Snapshot, bool) {
	m.mu.Lock()
	var from *member
	table := have.Table
	for n, s := range m.heard {
		switch {
		case m.cut.Load() || n.cut.Load():
		case s.Era < have.Era:
		case entries && s.Table > table:
			from, table = n, s.Table
		case (!entries || table == have.Table) && s.Fleet > have.Fleet:
			from = n
		}
	}
	m.mu.Unlock()
	if from == nil {
		return watch.Snapshot{}, false
	}
	s := from.Watcher.Snapshot()
	if !entries {
		s.Entries = nil
	}
	return s, true
}

// Fleet implements [watch.Source].
func (m *memberSource) Fleet(ctx context.Context) (core.Fleet, []core.BadRow, error) {
	if m.member.cut.Load() {
		return core.Fleet{}, nil, codes.New(codes.PlatformDown, "cut off")
	}
	return m.source.Fleet(ctx)
}

// memberSource is the store as a member reaches it.
type memberSource struct {
	*source
	member *member
}

// tell reports the member's state to its neighbours, after 5 ms.
func (m *member) tell(ctx context.Context) {
	_ = clock.Clock{}.Sleep(ctx, 5)
	state := m.PeerState()
	for _, n := range m.neighbours {
		if m.cut.Load() || n.cut.Load() {
			continue
		}
		n.mu.Lock()
		n.heard[m] = state
		n.mu.Unlock()
		n.HandlePeerState(state)
	}
}

// startMembers starts n entries, each with some eight neighbours, that report once a
// second and after each change.
func startMembers(t *testing.T, s *source, n int, drain clock.Millis) []*member {
	return startAll(t, s, n, drain, false)
}

// startFresh starts n entries as at the first start of the whole system.
func startFresh(t *testing.T, s *source, n int) []*member {
	return startAll(t, s, n, 3*clock.Second, true)
}

// startAll starts n entries.
func startAll(t *testing.T, s *source, n int, drain clock.Millis, fresh bool) []*member {
	var all []*member
	for i := range n {
		m := &member{turn: watch.Turn{Ahead: i, Relayed: true, Drain: drain}, got: &applied{}, heard: make(map[*member]watch.PeerState)}
		m.Watcher = &watch.Watcher{
			Source: &memberSource{s, m}, Peers: m, Self: core.Instance{Name: fmt.Sprintf("entry-%03d", i)}, Fresh: fresh,
			OnManifest: func(*core.Manifest) {},
			OnFleet:    func(fleet core.Fleet) { m.got.mu.Lock(); m.got.fleet = fleet; m.got.mu.Unlock(); m.changed.Send() },
			OnEntries:  func([]core.Instance) {},
		}
		all = append(all, m)
	}
	for i, m := range all {
		for range 4 {
			if o := all[rand.IntN(n)]; o != m {
				m.neighbours, o.neighbours = append(m.neighbours, o), append(o.neighbours, m)
			}
		}
		next := all[(i+1)%n]
		m.neighbours, next.neighbours = append(m.neighbours, next), append(next.neighbours, m)
	}
	var wg sync.WaitGroup
	for i, m := range all {
		ctx, stop := context.WithCancel(context.Background())
		m.stop = stop
		wg.Go(func() { m.Run(ctx) })
		wg.Go(func() {
			_ = clock.Clock{}.Sleep(ctx, clock.Millis(i*1000/n))
			for ctx.Err() == nil {
				m.tell(ctx)
				m.changed.Wait(ctx, clock.Clock{}, 1000)
			}
		})
	}
	t.Cleanup(func() {
		for _, m := range all {
			m.stop()
		}
		wg.Wait()
	})
	return all
}

// TestRelayedReads has 120 entries relay what a few of them read. Reads must not grow
// with the entries, and a leaving replica must be known to all before the end of the
// time in which it may still get requests, also if the entries that read are gone.
func TestRelayedReads(t *testing.T) {
	is := is.New(t)
	const drain = 3 * clock.Second
	s := newSource()
	s.fleet = fleet(1, "a", "b", "c")
	all := startMembers(t, s, 120, drain)
	have := func(from int, names string) bool {
		for _, m := range all[from:] {
			if m.got.names() != names {
				return false
			}
		}
		return true
	}
	c := clock.Clock{}
	until(t, "the first list", func() bool { return have(0, "abc") })
	_ = c.Sleep(t.Context(), 4000)
	reads := func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.reads["fleet"] }
	const span = 5
	before := reads()
	_ = c.Sleep(t.Context(), span*clock.Second)
	perSecond := float64(reads()-before) / span
	change := func(from int, revision int64, names ...string) clock.Millis {
		text := ""
		for _, name := range names {
			text += name
		}
		at := c.Now()
		s.edit(func() { s.fleet = fleet(revision, names...) })
		until(t, "a change of the list", func() bool { return have(from, text) })
		return c.Now() - at
	}
	first := change(0, 2, "b", "c")
	for _, m := range all[:3] {
		m.stop()
	}
	second := change(3, 3, "c")
	t.Logf("%.1f reads of the list a second; a change reaches all within %d ms, and %d ms without those that read", perSecond, first, second)
	is.True(perSecond <= 3)
	is.True(first <= drain-500)
	is.True(second <= drain-500)
}

// TestSilentReadersAreNoOutage guards against a replica that is kept although its row was
// removed: the entries that read the list for all are cut off from the store, and the gap
// until others read looked like an outage of the store, after which missing replicas are
// kept since their rows come back.
func TestSilentReadersAreNoOutage(t *testing.T) {
	for _, drain := range []clock.Millis{2000, 3000, 4000, 8000} {
		t.Run(fmt.Sprint(drain), func(t *testing.T) {
			t.Parallel()
			s := newSource()
			s.fleet = fleet(1, "a", "b", "c")
			all := startMembers(t, s, 60, drain)
			have := func(names string) func() bool {
				return func() bool {
					for _, m := range all[3:] {
						if m.got.names() != names {
							return false
						}
					}
					return true
				}
			}
			c := clock.Clock{}
			until(t, "the first list", have("abc"))
			_ = c.Sleep(t.Context(), 2000)
			for _, m := range all[:3] {
				m.stop()
			}
			at := c.Now()
			s.edit(func() { s.fleet = fleet(2, "b", "c") })
			until(t, "the removal", have("bc"))
			is.New(t).True(c.Now()-at <= max(drain, 4000)-500)
		})
	}
}

// TestFreshStart starts 120 entries together, and has replicas join meanwhile. It
// counts the calls of the store until all have the list: each registers and reads the
// table of entries and the manifest, and few read the list.
func TestFreshStart(t *testing.T) {
	is := is.New(t)
	const n = 120
	s := newSource()
	s.fleet, s.manifest = fleet(1, "a", "b", "c"), &core.Manifest{Version: 3}
	all := startFresh(t, s, n)
	c := clock.Clock{}
	names := []string{"a", "b", "c"}
	for i, begun := 0, c.Now(); c.Now()-begun < 4*clock.Second; i++ {
		_ = c.Sleep(t.Context(), 100)
		names = append(names, string(rune('d'+i%20)))
		s.edit(func() { s.fleet = fleet(int64(2+i), names...) })
	}
	until(t, "the last list", func() bool {
		s.mu.Lock()
		last := s.fleet.Revision
		s.mu.Unlock()
		for _, m := range all {
			m.got.mu.Lock()
			got := m.got.fleet.Revision
			m.got.mu.Unlock()
			if got != last {
				return false
			}
		}
		return true
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("calls of the store: %v", s.reads)
	is.True(s.reads["fleet"] <= n/10)
	is.True(s.reads["entries"] <= n+n/10)
}

// TestTurnDelay checks the order of reads.
func TestTurnDelay(t *testing.T) {
	is := is.New(t)
	is.Equal(watch.Turn{}.Delay(), clock.Millis(0))
	is.Equal(watch.Turn{Ahead: 1}.Delay(), clock.Millis(250))
	is.Equal(watch.Turn{Ahead: 9}.Delay(), clock.Millis(500))
	for _, drain := range []clock.Millis{0, 2000, 3000, 4000, 60000} {
		relayed := func(ahead int) clock.Millis { return watch.Turn{Ahead: ahead, Relayed: true, Drain: drain}.Delay() }
		is.Equal(relayed(0), clock.Millis(0))
		is.True(relayed(1) < relayed(2))
		is.True(relayed(3) < relayed(300))
		// A read takes some milliseconds, and a change is passed on at once.
		is.True(1000+relayed(100) < max(drain, 2000))
		// A gap of 2.8 s looks like an outage of the store.
		is.True(1000+relayed(290) < 2800)
	}
}
