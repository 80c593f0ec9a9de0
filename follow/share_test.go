package follow_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/follow"
	"lacewinghook.example/lacewinghook/notify"
)

// crowd is a number of entries that follow one store and tell each other.
type crowd struct {
	followers []*follow.Follower
	told      []notify.Signal
	stops     []context.CancelFunc
	seen      []*seen
}

// place is an entry's place in a crowd.
type place struct {
	peers
	at int
}

func (p *place) Ahead() int { return p.at }

// startCrowd starts n entries whose messages take a few ms, and that tell each
// other after each reading and twice a second.
func startCrowd(t *testing.T, s *source, n int) *crowd {
	c := &crowd{told: make([]notify.Signal, n)}
	for i := range n {
		got := &seen{}
		c.seen = append(c.seen, got)
		c.followers = append(c.followers, &follow.Follower{
			Source: s, Peers: &place{at: i}, Self: core.Instance{Name: fmt.Sprintf("entry-%03d", i)},
			OnManifest: func(*core.Manifest) {},
			OnFleet:    func(f core.Fleet) { got.mu.Lock(); got.fleet = f; got.mu.Unlock(); c.told[i].Send() },
			OnEntries:  func([]core.Instance) {},
		})
	}
	var wg sync.WaitGroup
	for i, f := range c.followers {
		// Instances start within 300 ms of each other.
		_ = clock.Clock{}.Sleep(t.Context(), 300/clock.Millis(n))
		ctx, stop := context.WithCancel(context.Background())
		c.stops = append(c.stops, stop)
		wg.Go(func() { f.Run(ctx) })
		wg.Go(func() {
			for ctx.Err() == nil {
				c.told[i].Wait(ctx, clock.Clock{}, 500)
				_ = clock.Clock{}.Sleep(ctx, 5)
				if ctx.Err() != nil {
					return
				}
				updates := f.Told()
				for j, other := range c.followers {
					if j != i {
						other.Heard(updates)
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

// all reports whether every entry from the first on has these replicas.
func (c *crowd) all(first int, names string) bool {
	for _, s := range c.seen[first:] {
		if s.names() != names {
			return false
		}
	}
	return true
}

// TestReadingsDoNotGrowWithTheEntries counts the readings of the list by all
// entries, and the time until all know that a replica has left, also while the
// entry that reads first has died.
func TestReadingsDoNotGrowWithTheEntries(t *testing.T) {
	for _, n := range []int{9, 27, 90} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			s := newSource()
			s.fleet = fleet(1, "a", "b", "c")
			begun := clock.Clock{}.Now()
			c := startCrowd(t, s, n)
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
			// They all start at once: a row, its table and the manifest each,
			// the list of replicas by some, and what changed meanwhile.
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
				until(t, "a change", func() bool { return c.all(first, text) })
				worst = max(worst, clock.Clock{}.Now()-at)
			}
			change(0, 2, "b", "c")
			c.stops[0]()
			change(1, 3, "c")
			// A leaving replica must get nothing after two seconds.
			is.True(worst <= 1700)
			t.Logf("%d entries: all have the list %d ms after the first one starts, %d calls of the store in the first 3 s; then %d readings in %d s, a change is known everywhere after %d ms at the most", n, started, first, calls, span, worst)
		})
	}
}
