package gossip_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/gossip"
)

// maxIdle is the number of heartbeats an entry may send per second while nothing
// changes: those of some 350 bytes that make up the 9 KB of control traffic that a
// node may have.
const maxIdle = 25

// TestMessagesOfManyEntries measures the rate at which an entry sends
// heartbeats while nothing changes, and while its state changes all the time.
func TestMessagesOfManyEntries(t *testing.T) {
	for _, size := range []int{9, 12, 27, 90, 295} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			names, list := entries(size)
			n, tables := start(t, nil, names...)
			for _, table := range tables {
				table.Merge(list)
			}
			live := func(name string) []string {
				var peers []string
				for _, p := range tables[name].Live() {
					peers = append(peers, p.Peer)
				}
				return peers
			}
			// All entries but the seed, whose address the others start with, then
			// have heartbeats of their neighbours only.
			until(t, func() bool {
				for _, name := range names[1:] {
					got := live(name)
					if size <= gossip.MaxMesh && len(got) != size-1 || len(got) == 0 || len(got) > 40 {
						return false
					}
					for _, peer := range got {
						if peer != names[0] && !slices.Contains(live(peer), name) {
							return false
						}
					}
				}
				return true
			})
			sender := names[size/2]
			c := clock.Clock{}
			// rate returns the heartbeats that one entry sends per second.
			rate := func(d clock.Millis, each func()) int {
				before, begun := n.sentBy(sender), c.Now()
				for c.Now() < begun+d {
					each()
					_ = c.Sleep(t.Context(), 5)
				}
				return (n.sentBy(sender) - before) * 1000 / int(c.Now()-begun)
			}
			idle := rate(4000, func() {})
			busy := rate(2000, func() { tables[sender].Trigger() })
			t.Logf("%d entries: each sends %d heartbeats per second when idle, %d while its state changes all the time", size, idle, busy)
			if size > gossip.MaxMesh {
				is.True(idle <= maxIdle)
			}
			is.True(idle <= 60)
			is.True(busy <= 900)
			for _, table := range tables {
				is.Equal(table.MaxEntries(), size)
				is.Equal(table.Sparse(), size > gossip.MaxMesh)
			}
		})
	}
}

// entries returns the names and rows of some entries in five data centres.
func entries(size int) (names []string, list []core.Instance) {
	for i := range size {
		in := instance(fmt.Sprintf("e%03d", i))
		in.Centre = fmt.Sprint("c", i%5)
		names, list = append(names, in.Name), append(list, in)
	}
	return names, list
}

// heard is a sender that records to whom heartbeats are sent, and delivers none.
type heard struct {
	mu sync.Mutex
	to map[string]bool
}

// SendHeartbeat records the address.
func (h *heard) SendHeartbeat(_ context.Context, addr string, _ gossip.Heartbeat) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.to[addr] = true
	return nil
}

// TestNeighboursAreConnected checks that every entry is a few steps from any other,
// that two entries agree whether they are neighbours, and that few neighbours change
// when an entry leaves.
func TestNeighboursAreConnected(t *testing.T) {
	is := is.New(t)
	names, list := entries(295)
	graph := func(list []core.Instance) map[string]map[string]bool {
		g := make(map[string]map[string]bool)
		for _, in := range list {
			h := &heard{to: make(map[string]bool)}
			table := &gossip.Table{Sender: h, Self: in.Peer, Heartbeat: func() gossip.Heartbeat { return gossip.Heartbeat{} }}
			ctx, stop := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			table.Merge(list)
			wg.Go(func() { table.Run(ctx) })
			want := len(table.Neighbours())
			until(t, func() bool { h.mu.Lock(); defer h.mu.Unlock(); return len(h.to) == want })
			stop()
			wg.Wait()
			g[in.Peer] = h.to
		}
		return g
	}
	g := graph(list)
	for name, peers := range g {
		for peer := range peers {
			is.True(g[peer][name])
		}
	}
	for _, first := range []string{names[0], names[150]} {
		reached := map[string]bool{first: true}
		edge := []string{first}
		steps := 0
		for ; len(edge) > 0 && len(reached) < len(names); steps++ {
			var next []string
			for _, name := range edge {
				for peer := range g[name] {
					if !reached[peer] {
						reached[peer] = true
						next = append(next, peer)
					}
				}
			}
			edge = next
		}
		is.Equal(len(reached), len(names))
		is.True(steps <= 5)
	}
	changed := 0
	for name, peers := range graph(list[1:]) {
		for peer := range peers {
			if !g[name][peer] {
				changed++
			}
		}
	}
	is.True(changed <= 60) // of some 3,000
}
