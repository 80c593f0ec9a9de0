package gossip_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/gossip"
)

// network delivers heartbeats between tables by address. Sending from or to a
// cut address fails.
type network struct {
	mu       sync.Mutex
	tables   map[string]*gossip.Table
	cut      map[string]bool
	sentTo   map[string]int
	sentFrom map[string]int
}

// sentBy returns the number of heartbeats that an entry has sent.
func (n *network) sentBy(addr string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sentFrom[addr]
}

// SendHeartbeat delivers the heartbeat to the table at addr.
func (n *network) SendHeartbeat(_ context.Context, addr string, h gossip.Heartbeat) error {
	n.mu.Lock()
	n.sentTo[addr]++
	n.sentFrom[h.Instance.Peer]++
	to, cut := n.tables[addr], n.cut[addr] || n.cut[h.Instance.Peer]
	n.mu.Unlock()
	if to == nil || cut {
		return errors.New("cut")
	}
	to.HandleHeartbeat(h)
	return nil
}

// setCut cuts off or reconnects an address.
func (n *network) setCut(addr string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[addr] = cut
}

// instance returns a live instance whose address is its name.
func instance(name string) core.Instance {
	return core.Instance{Name: name, Peer: name, State: core.Live}
}

// start runs tables that initially have only the address of the first.
func start(t *testing.T, loads map[string][]gossip.Load, names ...string) (*network, map[string]*gossip.Table) {
	n := &network{tables: map[string]*gossip.Table{}, cut: map[string]bool{}, sentTo: map[string]int{}, sentFrom: map[string]int{}}
	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	t.Cleanup(func() { stop(); wait.Wait() })
	for i, name := range names {
		boot := uint64(i + 1)
		table := &gossip.Table{Sender: n, Self: name, Heartbeat: func() gossip.Heartbeat {
			return gossip.Heartbeat{Instance: instance(name), Boot: boot, Ready: true, Loads: loads[name]}
		}}
		n.mu.Lock()
		n.tables[name] = table
		n.mu.Unlock()
		table.AddAddresses(names[:1])
		wait.Go(func() { table.Run(ctx) })
	}
	return n, n.tables
}

// until waits up to 10 seconds for a condition.
func until(t *testing.T, cond func() bool) {
	t.Helper()
	c := clock.Clock{}
	for end := c.Now() + 10*clock.Second; !cond(); {
		if c.Now() > end {
			t.Fatal("timed out waiting for the condition")
		}
		_ = c.Sleep(context.Background(), 2)
	}
}

// TestPeerLiveness cuts a peer off and reconnects it, and checks that it stops
// counting as live in time and becomes live again.
func TestPeerLiveness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, tables := start(t, nil, "a", "b")
		until(t, func() bool { return len(tables["a"].Live()) == 1 && len(tables["b"].Live()) == 1 })
		is.Equal(tables["a"].MaxEntries(), 2)
		n.setCut("b", true)
		begun := clock.Clock{}.Now()
		until(t, func() bool { return len(tables["a"].Live()) == 0 })
		is.True(clock.Clock{}.Now()-begun <= gossip.LiveTimeout+100)
		n.setCut("b", false)
		until(t, func() bool { return len(tables["a"].Live()) == 1 })
	})
}

// TestPeerWorkSumsLivePeers checks that PeerWork adds up the work of the live
// peers only.
func TestPeerWorkSumsLivePeers(t *testing.T) {
	is := is.New(t)
	loads := map[string][]gossip.Load{
		"a": {{Upstream: "g", Tokens: 1}},
		"b": {{Upstream: "g", Requests: 2, Tokens: 300, Pieces: 7}},
		"c": {{Upstream: "g", Requests: 1, Pieces: 1}, {Upstream: "p", Tokens: 5}},
	}
	n, tables := start(t, loads, "a", "b", "c")
	until(t, func() bool { return len(tables["a"].Live()) == 2 })
	g := tables["a"].PeerWork()["g"]
	is.Equal(g.Requests, 3)
	is.Equal(g.Tokens, 300)
	is.Equal(g.Held, 8)
	is.Equal(tables["a"].PeerWork()["p"].Tokens, 5)
	n.setCut("b", true)
	until(t, func() bool { return tables["a"].PeerWork()["g"].Requests == 1 })
}

// TestLateAndOwnMessagesAreIgnored handles heartbeats out of order, of a later
// run, from the entry itself and without an address.
func TestLateAndOwnMessagesAreIgnored(t *testing.T) {
	is := is.New(t)
	table := &gossip.Table{Self: "a"}
	heartbeat := func(boot, seq uint64, requests int) gossip.Heartbeat {
		return gossip.Heartbeat{Instance: instance("b"), Boot: boot, Seq: seq, Loads: []gossip.Load{{Upstream: "g", Requests: requests}}}
	}
	table.HandleHeartbeat(heartbeat(1, 5, 5))
	table.HandleHeartbeat(heartbeat(1, 4, 4))
	is.Equal(table.PeerWork()["g"].Requests, 5)
	table.HandleHeartbeat(heartbeat(2, 1, 1)) // a later run of the entry
	is.Equal(table.PeerWork()["g"].Requests, 1)
	table.HandleHeartbeat(gossip.Heartbeat{Instance: instance("a"), Boot: 9, Seq: 1})
	table.HandleHeartbeat(gossip.Heartbeat{Seq: 1})
	is.Equal(len(table.Live()), 1)
}

// TestChangesAreCoalesced reports many changes in a short time and checks that
// few heartbeats are sent.
func TestChangesAreCoalesced(t *testing.T) {
	is := is.New(t)
	n, tables := start(t, nil, "a", "b")
	until(t, func() bool { return len(tables["b"].Live()) == 1 })
	n.mu.Lock()
	before := n.sentTo["b"]
	n.mu.Unlock()
	c := clock.Clock{}
	for end := c.Now() + 200; c.Now() < end; {
		tables["a"].Trigger()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := n.sentTo["b"] - before
	is.True(sent >= 5)
	is.True(sent <= 25)
}

// TestWithoutHeartbeat checks that only listed entries without a recent heartbeat
// are returned.
func TestWithoutHeartbeat(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	table := &gossip.Table{Self: "a", Clock: clock.Clock{Manual: m}}
	table.Merge([]core.Instance{instance("a"), instance("b"), instance("c")})
	is.Equal(len(table.WithoutHeartbeat(clock.Minute)), 0)
	m.Advance(clock.Minute + 1)
	table.HandleHeartbeat(gossip.Heartbeat{Instance: instance("b"), Boot: 1, Seq: 1})
	table.HandleHeartbeat(gossip.Heartbeat{Instance: instance("d"), Boot: 1, Seq: 1}) // not listed
	missing := table.WithoutHeartbeat(clock.Minute)
	is.Equal(len(missing), 1)
	is.Equal(missing[0].Name, "c")
	m.Advance(clock.Minute + 1)
	is.Equal(len(table.WithoutHeartbeat(clock.Minute)), 2)
	table.Merge([]core.Instance{instance("b")})
	is.Equal(len(table.WithoutHeartbeat(clock.Minute)), 1)
}
