package watch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/notify"
	"lacewinghook.example/lacewinghook/watch"
)

// cluster is a set of entries that watch one store and report their state to each
// other.
type cluster struct {
	watchers []*watch.Watcher
	changed  []notify.Signal
	stops    []context.CancelFunc
	applied  []*applied
}

// peersAhead gives an entry its position in the order of reads.
type peersAhead struct {
	peers
	ahead int
}

// Turn returns the entry's position.
func (p *peersAhead) Turn() watch.Turn { return watch.Turn{Ahead: p.ahead} }

// startCluster starts n entries that report to each other after each change
// and every 500 ms. A report takes 5 ms.
func startCluster(t *testing.T, s *source, n int) *cluster {
	c := &cluster{changed: make([]notify.Signal, n)}
	for i := range n {
		got := &applied{}
		c.applied = append(c.applied, got)
		c.watchers = append(c.watchers, &watch.Watcher{
			Source: s, Peers: &peersAhead{ahead: i}, Self: core.Instance{Name: fmt.Sprintf("entry-%03d", i)},
			OnManifest: func(*core.Manifest) {},
			OnFleet:    func(fleet core.Fleet) { got.mu.Lock(); got.fleet = fleet; got.mu.Unlock(); c.changed[i].Send() },
			OnEntries:  func([]core.Instance) {},
		})
	}
	var wg sync.WaitGroup
	for i, w := range c.watchers {
		// The entries start within 300 ms of each other.
		_ = clock.Clock{}.Sleep(t.Context(), 300/clock.Millis(n))
		ctx, stop := context.WithCancel(context.Background())
		c.stops = append(c.stops, stop)
		wg.Go(func() { w.Run(ctx) })
		wg.Go(func() {
			for ctx.Err() == nil {
				c.changed[i].Wait(ctx, clock.Clock{}, 500)
				_ = clock.Clock{}.Sleep(ctx, 5)
				if ctx.Err() != nil {
					return
				}
				state := w.PeerState()
				for j, other := range c.watchers {
					if j != i {
						other.HandlePeerState(state)
					}
				}
			}
		})
	}
	t.Cleanup(func() {
		for _, stop := range c.stops {
			stop()
		}
		wg.Wait()
	})
	return c
}

// all reports whether the entries from the first on all have these replicas.
func (c *cluster) all(first int, names string) bool {
	for _, s := range c.applied[first:] {
		if s.names() != names {
			return false
		}
	}
	return true
}

// TestReadsDoNotGrowWithEntries counts the reads of the list by all
// entries, and the time until all have a change, also after the entry that
// reads first has stopped.
func TestReadsDoNotGrowWithEntries(t *testing.T) {
	for _, n := range []int{9, 27, 90} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			s := newSource()
			s.fleet = fleet(1, "a", "b", "c")
			begun := clock.Clock{}.Now()
			c := startCluster(t, s, n)
			until(t, "the first list", func() bool { return c.all(0, "abc") })
			started := clock.Clock{}.Now() - begun
			sleep := func(d clock.Millis) { _ = clock.Clock{}.Sleep(t.Context(), d) }
			sleep(3000)
			s.mu.Lock()
			first := 0
			for _, k := range s.reads {
				first += k
			}
			s.mu.Unlock()
			// All start at once. Each registers, reads the table of entries
			// and the manifest; some read the list of replicas and later
			// changes.
			is.True(first <= 10*n)
			reads := func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.reads["fleet"] }
			const span = 4
			before := reads()
			sleep(span * clock.Second)
			calls := reads() - before
			is.True(calls <= 2*span)

			worst := clock.Millis(0)
			change := func(first int, revision int64, names ...string) {
				text := ""
				for _, name := range names {
					text += name
				}
				at := clock.Clock{}.Now()
				s.edit(func() { s.fleet = fleet(revision, names...) })
				until(t, "a change of the list", func() bool { return c.all(first, text) })
				worst = max(worst, clock.Clock{}.Now()-at)
			}
			change(0, 2, "b", "c")
			c.stops[0]()
			change(1, 3, "c")
			// A leaving replica must receive nothing new after 2 s.
			is.True(worst <= 1700)
			t.Logf("%d entries: all have the list %d ms after the first start; %d store calls in the first 3 s, then %d reads of the list in %d s; a change reaches all within %d ms", n, started, first, calls, span, worst)
		})
	}
}
