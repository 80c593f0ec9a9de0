package watch_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/extsim"
	"lacewinghook.example/lacewinghook/platform"
	"lacewinghook.example/lacewinghook/watch"
)

// entriesTable is the table of entries in the store.
const entriesTable = "lacewinghook-entries"

// putReplica writes the row of a replica to the stand-in of the store.
func putReplica(sim *extsim.Store, name, state string, born int) {
	sim.Put(extsim.ReplicaTable, name, fmt.Sprintf(`{"service":"v","address":"10.128.0.%d:8080","zone":"z","version":"v1",`+
		`"slots":4,"state":%q,"cold_left_ms":0,"seq_no":4,"born":%d}`, name[0], state, born))
}

// TestStoreSetBack sets the store back to a copy that is older than what the entry has read.
// It guards against replicas that are dropped, or used again although they leave or have been
// removed, because the copy lacks what was written since; against a manifest that goes back
// or isn't followed any longer, since versions are assigned again; and against an entry that
// stays without a row.
func TestStoreSetBack(t *testing.T) {
	t.Parallel()
	for name, later := range map[string]int{"versions below those known": 0, "versions above those known": 60} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sim := extsim.NewStore(t)
			sim.Put(extsim.OperatorTable, extsim.ManifestKey, `{"version":3}`)
			for _, name := range []string{"a", "b", "d", "e"} {
				putReplica(sim, name, "ready", 1)
			}
			old := sim.Copy()
			sim.Put(extsim.OperatorTable, extsim.ManifestKey, `{"version":5}`)
			putReplica(sim, "b", "draining", 1)
			putReplica(sim, "c", "ready", 1)
			sim.Remove(extsim.ReplicaTable, "d")
			putReplica(sim, "e", "ready", 2)

			var mu sync.Mutex
			var versions []int64
			var lists []string
			w := &watch.Watcher{
				Source: &platform.Store{Addr: sim.Addr}, Self: core.Instance{Name: "self", Addr: "10.0.0.1:80", Peer: "10.0.0.1:81"},
				OnManifest: func(m *core.Manifest) { mu.Lock(); versions = append(versions, m.Version); mu.Unlock() },
				OnFleet: func(f core.Fleet) {
					slices.SortFunc(f.Replicas, func(a, b core.Replica) int { return int(a.Name[0]) - int(b.Name[0]) })
					text := ""
					for _, r := range f.Replicas {
						text += fmt.Sprintf("%s%d%t ", r.Name, r.Incarnation, r.Leaving)
					}
					mu.Lock()
					lists = append(lists, text)
					mu.Unlock()
				},
				OnEntries: func([]core.Instance) {},
			}
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { w.Run(ctx); close(done) }()
			t.Cleanup(func() { stop(); <-done })
			last := func() string {
				mu.Lock()
				defer mu.Unlock()
				if len(lists) == 0 {
					return ""
				}
				return lists[len(lists)-1]
			}
			const known = "a1false b1true c1false e2false "
			until(t, "the list", func() bool { return last() == known })
			until(t, "the row", func() bool { return slices.Contains(sim.Keys(entriesTable), "self") })

			again := sim.Restore(old, extsim.OperatorTable, extsim.ReplicaTable)
			for range later {
				sim.Put(extsim.ReplicaTable, "odd", "{}")
			}
			begun := clock.Clock{}.Now()
			until(t, "the row in the restored store", func() bool { return slices.Contains(sim.Keys(entriesTable), "self") })
			is.True(clock.Clock{}.Now()-begun < 2500)
			_ = clock.Clock{}.Sleep(ctx, 1500-(clock.Clock{}.Now()-begun))
			for _, write := range again {
				write()
			}
			_ = clock.Clock{}.Sleep(ctx, 2500)
			mu.Lock()
			is.Equal(slices.Compact(slices.Clone(lists)), []string{known}) // no list had anything else
			mu.Unlock()
			sim.Put(extsim.OperatorTable, extsim.ManifestKey, `{"version":6}`)
			sim.Remove(extsim.ReplicaTable, "a")
			until(t, "a manifest of the new era", func() bool {
				mu.Lock()
				defer mu.Unlock()
				return versions[len(versions)-1] == 6
			})
			until(t, "a removal in the new era", func() bool { return last() == known[len("a1false "):] })
			is.True(slices.IsSorted(versions))
		})
	}
}

// TestVersionsOfOlderEras guards against a peer's list of an older era that is taken for a
// newer one since its revision is higher, and against the loss of what peers of an older
// build tell, which report no era.
func TestVersionsOfOlderEras(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSource()
	s.era, s.fleet = 2, fleet(5, "a")
	p := &peers{}
	w, got := start(t, s, p)
	until(t, "the first list", func() bool { return got.names() == "a" })
	tell := func(era, revision int64, names ...string) {
		list := fleet(revision, names...)
		list.Era = era
		p.set(watch.Snapshot{Fleet: list})
		w.HandlePeerState(watch.PeerState{Era: era, Fleet: revision, Members: list.Fingerprint()})
		_ = clock.Clock{}.Sleep(t.Context(), 500)
	}
	s.edit(func() { s.err = errStoreDown })
	tell(1, 900, "x")
	is.Equal(got.names(), "a")
	tell(0, 6, "a", "b") // an older build, which has never seen a restore
	is.Equal(got.names(), "ab")
	tell(3, 1, "b", "c")
	is.Equal(got.names(), "ba") // the others' rows may come back, and c may have been removed
	is.Equal(w.Meter.Value("store_restores_total"), uint64(1))
	is.Equal(w.PeerState().Era, int64(3))
	tell(0, 900, "x")
	is.Equal(got.names(), "ba")
	s.edit(func() { s.err, s.era, s.fleet = nil, 3, fleet(2, "b", "c") })
	until(t, "the list of the new era", func() bool { return got.names() == "bc" })
}

// TestFewReadsAfterRestore guards against as many reads of the restored store as there are
// entries, and against an entry that doesn't follow the new era.
func TestFewReadsAfterRestore(t *testing.T) {
	is := is.New(t)
	s := newSource()
	s.era, s.fleet = 1, fleet(50, "a", "b")
	all := startMembers(t, s, 60, 3*clock.Second)
	have := func(names string) func() bool {
		return func() bool {
			for _, m := range all {
				if m.got.names() != names {
					return false
				}
			}
			return true
		}
	}
	until(t, "the first list", have("ab"))
	_ = clock.Clock{}.Sleep(t.Context(), 4000)
	reads := func() map[string]int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return map[string]int{"fleet": s.reads["fleet"], "entries": s.reads["entries"], "manifest": s.reads["manifest"], "register": s.reads["register"]}
	}
	before := reads()
	s.edit(func() { s.era, s.fleet = 2, fleet(7, "a", "b") })
	_ = clock.Clock{}.Sleep(t.Context(), 9000)
	after := reads()
	t.Logf("before %v, after %v", before, after)
	is.True(after["fleet"]-before["fleet"] <= 60)
	is.True(after["entries"]-before["entries"] <= 20)
	is.Equal(after["register"]-before["register"], 60)
	s.edit(func() { s.fleet = fleet(8, "b") })
	until(t, "a change in the new era", have("b"))
}

// errStoreDown is the error of a store that answers nothing.
var errStoreDown = codes.New(codes.PlatformDown, "")
