package share_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/assign"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/share"
)

// entries returns n entries.
func entries(n int) []core.Instance {
	var all []core.Instance
	for i := range n {
		all = append(all, core.Instance{Name: fmt.Sprint("e", i), Peer: fmt.Sprint("p", i)})
	}
	return all
}

// network connects readers that send reports to each other, and serves as the
// engines that they read.
type network struct {
	mu   sync.Mutex
	live []core.Instance
	// leaving entries own no engines.
	leaving []core.Instance
	nodes   map[string]*share.Reader
	reads   map[string]int
}

// Live returns all entries that count as live.
func (n *network) Live() []core.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.live
}

// Running returns the entries that count as live and the leaving ones.
func (n *network) Running() []core.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append(slices.Clone(n.live), n.leaving...)
}

// Load counts the read and returns a report.
func (n *network) Load(_ context.Context, up core.Upstream) (core.Report, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reads[up.Name]++
	return core.Report{Upstream: up.Name, FreePieces: 7}, nil
}

// SendReports delivers the reports to the reader at addr.
func (n *network) SendReports(_ context.Context, addr string, reports []core.Report) error {
	n.mu.Lock()
	node := n.nodes[addr]
	n.mu.Unlock()
	if node == nil {
		return codes.New(codes.CutOff, "peer %s", addr)
	}
	node.ApplyReports(reports)
	return nil
}

// round runs one round at every node and returns for each table the number of
// upstreams with a report.
func (n *network) round(t *testing.T, tables map[string]*pool.Table) map[string]int {
	t.Helper()
	for _, node := range n.nodes {
		m := &clock.Manual{}
		node.Clock = clock.Clock{Manual: m}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { node.Run(ctx); close(done) }()
		for m.Pending() == 0 {
			// The first round has ended when the reader sleeps.
			_ = clock.Clock{}.Sleep(ctx, 1)
		}
		cancel()
		<-done
	}
	known := make(map[string]int)
	for addr, table := range tables {
		for _, name := range table.Names() {
			if s, ok := table.Get(name); ok && s.Report.FreePieces == 7 {
				known[addr]++
			}
		}
	}
	return known
}

// TestEngineIsReadOnceAndReportReachesAll runs one round at each entry. If one
// is dead but still counts as live, exactly the engines that it owns are not
// read. A leaving entry owns none and receives all reports.
func TestEngineIsReadOnceAndReportReachesAll(t *testing.T) {
	for _, c := range []struct {
		name          string
		dead, leaving int
	}{
		{name: "all alive"},
		{name: "one dead but still counted as live", dead: 1},
		{name: "one leaving", leaving: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			const upstreams = 40
			all := entries(4)
			live := len(all) - c.leaving
			n := &network{live: all[:live], leaving: all[live:], nodes: make(map[string]*share.Reader), reads: make(map[string]int)}
			doc := &core.Document{}
			for i := range upstreams {
				doc.Upstreams = append(doc.Upstreams, core.Upstream{Name: fmt.Sprint("up", i), Role: core.Decode})
			}
			tables := make(map[string]*pool.Table)
			unread := 0
			for i, in := range all {
				if i < c.dead {
					for _, u := range doc.Upstreams {
						if assign.Owner(u.Name, n.live) == in.Name {
							unread++
						}
					}
					continue
				}
				tables[in.Peer] = &pool.Table{}
				tables[in.Peer].Apply(doc)
				n.nodes[in.Peer] = &share.Reader{Self: in.Name, Members: n, Upstreams: tables[in.Peer], Engines: n, Peers: n}
			}
			known := n.round(t, tables)
			for addr := range tables {
				is.Equal(known[addr], upstreams-unread)
			}
			for _, reads := range n.reads {
				is.Equal(reads, 1)
			}
			is.Equal(len(n.reads), upstreams-unread)
		})
	}
}
