package watch_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/watch"
)

// Times within which a change that the store has accepted must be in force, as in the
// settings of the deployments.
const (
	configApply = 3 * clock.Second
	drainTime   = 3 * clock.Second
)

// silentFeed is a store whose waiting calls get no answer. If unread is set, its reads of
// the manifest get none either.
type silentFeed struct {
	*source
	unread atomic.Bool
}

// Manifest implements [watch.Source].
func (s *silentFeed) Manifest(ctx context.Context) (*core.Manifest, core.StoreVersion, error) {
	if s.unread.Load() {
		return nil, core.StoreVersion{}, noAnswer(ctx, 900)
	}
	return s.source.Manifest(ctx)
}

// ManifestAfter implements [watch.Source].
func (s *silentFeed) ManifestAfter(ctx context.Context, _ core.StoreVersion, wait clock.Millis) (*core.Manifest, core.StoreVersion, error) {
	return nil, core.StoreVersion{}, noAnswer(ctx, wait+900)
}

// noAnswer returns the error of a call that got no answer until its timeout.
func noAnswer(ctx context.Context, timeout clock.Millis) error {
	_ = clock.Clock{}.Sleep(ctx, timeout)
	return codes.New(codes.PlatformDown, "no answer")
}

// failingPeers are peers whose first answers are lost.
type failingPeers struct {
	peers
	failures atomic.Int64
}

// Snapshot implements [watch.Peers].
func (p *failingPeers) Snapshot(ctx context.Context, have watch.PeerState, entries bool) (watch.Snapshot, bool) {
	if p.failures.Add(-1) >= 0 {
		return watch.Snapshot{}, false
	}
	return p.peers.Snapshot(ctx, have, entries)
}

// TestManifestMissedAfterFailedRequests guards against a manifest that stays in force after
// peers have reported a newer one, since requests for it are only made while the report is
// new.
func TestManifestMissedAfterFailedRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		failures int64
		unread   bool
	}{
		"peers answer later":            {6, true},
		"peers answer much later":       {12, true},
		"the store answers other reads": {1 << 30, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := &silentFeed{source: newSource()}
			s.edit(func() { s.manifest = &core.Manifest{Version: 1} })
			p := &failingPeers{}
			p.failures.Store(tc.failures)
			p.set(watch.Snapshot{Manifest: &core.Manifest{Version: 2}, Fleet: fleet(1, "a")})
			w, got := start(t, s, p)
			until(t, "the first manifest", func() bool { return got.version() == 1 })
			c := clock.Clock{}
			_ = c.Sleep(t.Context(), 1000)
			s.unread.Store(tc.unread)
			s.edit(func() { s.manifest = &core.Manifest{Version: 2} })
			at := c.Now()
			for got.version() != 2 && c.Now() < at+20*clock.Second {
				w.HandlePeerState(watch.PeerState{Manifest: 2})
				_ = c.Sleep(t.Context(), 100)
			}
			is.Equal(got.version(), int64(2))
			is.True(c.Now()-at <= configApply)
		})
	}
}

// relayedPeers are the peers of an entry in a fleet where a few read the list for all.
type relayedPeers struct{ peers }

// Relayed implements [watch.Peers].
func (p *relayedPeers) Relayed() bool { return true }

// Turn implements [watch.Peers].
func (p *relayedPeers) Turn() watch.Turn {
	t := p.peers.Turn()
	t.Relayed, t.Drain = true, drainTime
	return t
}

// TestOlderListReplacesNewerOne guards against a list of replicas that stays in use although
// a newer one is known: two lists arrive at once, and the goroutine with the older one is
// delayed before it installs it.
func TestOlderListReplacesNewerOne(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSource()
	p := &relayedPeers{peers{ahead: 9}}
	w, got := newWatcher(s, p)
	w.OnFleet = func(f core.Fleet) {
		if f.Revision == 2 {
			_ = clock.Clock{}.Sleep(t.Context(), 300)
		}
		got.onFleet(f)
	}
	run(t, w)
	until(t, "the first list", func() bool { return got.names() == "a" })
	s.edit(func() { s.fleet = fleet(2, "a", "b") })
	until(t, "the second list", func() bool { return w.Snapshot().Fleet.Revision == 2 })
	s.edit(func() { s.fleet = fleet(3, "b") })
	p.set(watch.Snapshot{Fleet: fleet(3, "b")})
	list := fleet(3, "b")
	for range 20 {
		w.HandlePeerState(watch.PeerState{Fleet: 3, Members: list.Fingerprint()})
		_ = clock.Clock{}.Sleep(t.Context(), 100)
	}
	is.Equal(w.Snapshot().Fleet.Revision, int64(3))
	is.Equal(got.names(), "b")
}

// TestRemovedReplicaReturnsFromAnEntryThatWasCutOff guards against a replica that is used
// again although its row was removed: an entry that was cut off took that for an outage of
// the store, kept the replica, and passed it on to the others in its list.
func TestRemovedReplicaReturnsFromAnEntryThatWasCutOff(t *testing.T) {
	for _, cutOff := range []int{0, 1, 2, 9} {
		t.Run(fmt.Sprint("entry ", cutOff), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := clock.Clock{}
			s := newSource()
			s.fleet = fleet(1, "a", "b", "c")
			s.writeRows(t)
			all := startMembers(t, s, 30, drainTime)
			others := slices.Delete(slices.Clone(all), cutOff, cutOff+1)
			have := func(names string) func() bool {
				return func() bool {
					return !slices.ContainsFunc(others, func(m *member) bool { return m.got.names() != names })
				}
			}
			until(t, "the first list", have("abc"))
			_ = c.Sleep(t.Context(), 3000)
			all[cutOff].cut.Store(true)
			_ = c.Sleep(t.Context(), 200)
			s.edit(func() { s.fleet = fleet(s.fleet.Revision+1, "b", "c") })
			removed := c.Now()
			until(t, "the removal", have("bc"))
			_ = c.Sleep(t.Context(), 4000-(c.Now()-removed))
			all[cutOff].cut.Store(false)
			for back := c.Now(); c.Now() < back+8*clock.Second; _ = c.Sleep(t.Context(), 5) {
				is.True(have("bc")()) // no other entry uses it again
			}
			is.Equal(all[cutOff].got.names(), "bc")
		})
	}
}

// TestKeptReplicaStaysAfterItsTime guards against a replica that is kept after the time in
// which rows come back after an outage of the store, since the lists that peers go on to read
// have no news, and against one that is dropped while the store is away again.
func TestKeptReplicaStaysAfterItsTime(t *testing.T) {
	for _, returns := range []bool{true, false} {
		t.Run(fmt.Sprint("the store stays ", returns), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := clock.Clock{}
			s := newSource()
			s.fleet = fleet(1, "a", "b")
			p := &relayedPeers{peers{ahead: 9}}
			w, got := start(t, s, p)
			until(t, "the first list", func() bool { return got.names() == "ab" })
			s.edit(func() { s.err = codes.New(codes.PlatformDown, "") })
			_ = c.Sleep(t.Context(), 5000)
			read := fleet(2, "b")
			p.set(watch.Snapshot{Fleet: read})
			report := func() { w.HandlePeerState(watch.PeerState{Fleet: read.Revision, Members: read.Fingerprint()}) }
			report()
			until(t, "the list after the outage", func() bool { return w.Snapshot().Fleet.Revision == 2 })
			is.Equal(got.names(), "ba")
			is.Equal(w.Snapshot().Fleet.Replicas, read.Replicas) // peers get the list as it was read
			for at := c.Now(); c.Now() < at+drainTime; _ = c.Sleep(t.Context(), 50) {
				if returns {
					report()
				}
			}
			is.Equal(got.names() == "b", returns)
		})
	}
}

// writeRows raises the revision of the list of replicas until the end of the test, as the
// replicas do that write their rows.
func (s *source) writeRows(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for (clock.Clock{}).Sleep(ctx, 100) == nil {
			s.mu.Lock()
			s.fleet.Revision++
			s.mu.Unlock()
		}
	})
	t.Cleanup(func() { stop(); wg.Wait() })
}

// TestDelayedReportsPostponeReads guards against a leaving replica that nobody learns of: reports
// that waited at entries which were frozen seem to be of recent reads of the list, so that the
// entry that reads for the others doesn't.
func TestDelayedReportsPostponeReads(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := clock.Clock{}
	s := newSource()
	s.fleet = fleet(1, "a", "b")
	w, got := start(t, s, &relayedPeers{}) // the first that reads
	until(t, "the first list", func() bool { return got.names() == "ab" })
	delayed := w.PeerState()
	s.edit(func() { s.fleet = fleet(2, "b") })
	for at := c.Now(); c.Now() < at+drainTime; _ = c.Sleep(t.Context(), 100) {
		w.HandlePeerState(delayed)
	}
	is.Equal(got.names(), "b")
}
