package watch_test

import (
	"context"
	"sync"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/watch"
)

// source is a store whose responses a test sets.
type source struct {
	mu       sync.Mutex
	err      error
	manifest *core.Manifest
	// badManifests, if not zero, makes the manifest invalid. Each change is a write.
	badManifests int
	fleet        core.Fleet
	bad          []core.BadRow
	entries      []core.Instance
	// changed is closed on each edit, and listed also when an entry registers.
	// revision counts both, and manifestAt is the revision of the manifest.
	changed, listed      chan struct{}
	revision, manifestAt int64
	// era rises when a test sets the store back.
	era           int64
	historyLost   bool
	reads         map[string]int
	lastFleetRead clock.Millis
	longestGap    clock.Millis
}

// newSource returns a store with one replica, a.
func newSource() *source {
	return &source{changed: make(chan struct{}), listed: make(chan struct{}), revision: 1, reads: map[string]int{}, fleet: fleet(1, "a")}
}

// fleet returns a list of replicas with the given names.
func fleet(revision int64, names ...string) core.Fleet {
	f := core.Fleet{Revision: revision}
	for _, name := range names {
		f.Replicas = append(f.Replicas, core.Replica{Upstream: core.Upstream{Name: name}})
	}
	return f
}

// edit changes the store by f and wakes the calls that wait for a change.
func (s *source) edit(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, bad := s.manifest, s.badManifests
	f()
	s.revision++
	if s.manifest != before || s.badManifests != bad {
		s.manifestAt = s.revision
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.wakeEntries()
}

// wakeEntries wakes the calls that wait for a change of the table of entries.
func (s *source) wakeEntries() {
	close(s.listed)
	s.listed = make(chan struct{})
}

// record counts a read of the given kind and returns the store's error.
func (s *source) record(kind string) error {
	s.reads[kind]++
	return s.err
}

// Manifest returns the manifest or the store's error.
func (s *source) Manifest(context.Context) (*core.Manifest, core.StoreVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.record("manifest"); err != nil {
		return nil, s.version(), err
	}
	return s.read()
}

// version returns the version of the store. The caller holds s.mu.
func (s *source) version() core.StoreVersion {
	return core.StoreVersion{Era: s.era, Revision: s.revision}
}

// read returns the manifest, or an error if it is invalid. The caller holds s.mu.
func (s *source) read() (*core.Manifest, core.StoreVersion, error) {
	if s.badManifests > 0 {
		return nil, s.version(), codes.New(codes.BadDocument, "")
	}
	return s.manifest, s.version(), nil
}

// ManifestAfter waits for an edit of the manifest or the loss of the history.
func (s *source) ManifestAfter(ctx context.Context, after core.StoreVersion, wait clock.Millis) (*core.Manifest, core.StoreVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	err, lost := s.record("changes"), s.historyLost
	s.historyLost = false
	if lost {
		return nil, s.version(), codes.New(codes.HistoryLost, "")
	}
	for err == nil && s.manifestAt <= after.Revision && s.era == after.Era && ctx.Err() == nil {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		s.mu.Lock()
		err = s.err
		lost, s.historyLost = s.historyLost, false
		if lost {
			return nil, s.version(), codes.New(codes.HistoryLost, "")
		}
	}
	switch {
	case err == nil && s.era != after.Era:
		return nil, s.version(), codes.New(codes.HistoryLost, "")
	case err != nil || s.manifestAt <= after.Revision:
		return nil, s.version(), err
	}
	return s.read()
}

// Fleet returns the replicas and records the longest gap between two reads.
func (s *source) Fleet(context.Context) (core.Fleet, []core.BadRow, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Clock{}.Now()
	if s.lastFleetRead != 0 {
		s.longestGap = max(s.longestGap, now-s.lastFleetRead)
	}
	s.lastFleetRead = now
	err := s.record("fleet")
	list := s.fleet
	list.Era = s.era
	return list, s.bad, err
}

// Entries returns the table of entries.
func (s *source) Entries(context.Context) ([]core.Instance, core.StoreVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.record("entries")
	return s.entries, s.version(), err
}

// EntriesChanged waits for an edit or a registration.
func (s *source) EntriesChanged(ctx context.Context, after core.StoreVersion, _ clock.Millis) (bool, core.StoreVersion, error) {
	s.mu.Lock()
	changed := s.listed
	err := s.record("entries changed")
	if err == nil && s.era != after.Era {
		err = codes.New(codes.HistoryLost, "")
	}
	s.mu.Unlock()
	if err != nil {
		return false, after, err
	}
	select {
	case <-changed:
		return true, core.StoreVersion{Era: after.Era, Revision: 1}, nil
	case <-ctx.Done():
		return false, after, ctx.Err()
	}
}

// Register appends the entry's row.
func (s *source) Register(_ context.Context, in core.Instance) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.record("register"); err != nil {
		return err
	}
	s.entries = append(s.entries, in)
	s.revision++
	s.wakeEntries()
	return nil
}

// Deregister does nothing.
func (s *source) Deregister(context.Context, string) error { return nil }

// peers returns the snapshot that a test sets.
type peers struct {
	mu       sync.Mutex
	snapshot *watch.Snapshot
	ahead    int
}

// Relayed implements [watch.Peers].
func (p *peers) Relayed() bool { return false }

// Turn returns the position that a test sets.
func (p *peers) Turn() watch.Turn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return watch.Turn{Ahead: p.ahead}
}

// set sets the snapshot that the peers return.
func (p *peers) set(s watch.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshot = &s
}

// Snapshot returns the snapshot, or false if none is set.
func (p *peers) Snapshot(context.Context, watch.PeerState, bool) (watch.Snapshot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshot == nil {
		return watch.Snapshot{}, false
	}
	return *p.snapshot, true
}

// applied records the state that a watcher passed to its callbacks.
type applied struct {
	mu       sync.Mutex
	manifest []int64
	fleet    core.Fleet
	entries  int
}

// onManifest records a manifest, and onFleet a list of replicas.
func (s *applied) onManifest(m *core.Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manifest = append(s.manifest, m.Version)
}

func (s *applied) onFleet(f core.Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet = f
}

// version returns the version of the last manifest.
func (s *applied) version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.manifest) == 0 {
		return 0
	}
	return s.manifest[len(s.manifest)-1]
}

// names returns the concatenated names of the replicas.
func (s *applied) names() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := ""
	for _, r := range s.fleet.Replicas {
		text += r.Name
	}
	return text
}

// newWatcher returns a watcher, and the record of what it passes to its callbacks.
func newWatcher(s watch.Source, p watch.Peers) (*watch.Watcher, *applied) {
	got := &applied{}
	return &watch.Watcher{
		Source: s, Peers: p, Self: core.Instance{Name: "self"},
		OnManifest: got.onManifest, OnFleet: got.onFleet,
		OnEntries: func(l []core.Instance) { got.mu.Lock(); got.entries = len(l); got.mu.Unlock() },
		Meter:     &meter.Registry{},
	}, got
}

// start runs a new watcher until the end of the test.
func start(t *testing.T, s watch.Source, p watch.Peers) (*watch.Watcher, *applied) {
	w, got := newWatcher(s, p)
	run(t, w)
	return w, got
}

// run runs a watcher until the end of the test.
func run(t *testing.T, w *watch.Watcher) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
}

// until waits up to 10 seconds for a condition; what describes it.
func until(t *testing.T, what string, cond func() bool) {
	t.Helper()
	c := clock.Clock{}
	for end := c.Now() + 10*clock.Second; !cond(); {
		if c.Now() > end {
			t.Fatal(what)
		}
		_ = c.Sleep(context.Background(), 2)
	}
}

// TestManifestsNeverRevert changes the manifest to higher and lower versions,
// loses the history once, and has a peer report a higher version.
func TestManifestsNeverRevert(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, p := newSource(), &peers{}
	w, got := start(t, s, p)
	for _, version := range []int64{3, 9, 4, 9, 11, 2} {
		s.edit(func() { s.manifest = &core.Manifest{Version: version} })
		_ = clock.Clock{}.Sleep(context.Background(), 50)
	}
	until(t, "the newest manifest", func() bool { return got.version() == 11 })
	got.mu.Lock()
	is.Equal(got.manifest, []int64{3, 9, 11})
	got.mu.Unlock()
	s.edit(func() { s.historyLost, s.manifest = true, &core.Manifest{Version: 12} })
	until(t, "the manifest after the history was compacted", func() bool { return got.version() == 12 })
	p.set(watch.Snapshot{Manifest: &core.Manifest{Version: 20}})
	w.HandlePeerState(watch.PeerState{Manifest: 20})
	until(t, "the peer's manifest", func() bool { return got.version() == 20 })
}

// TestPeersServeStateWhileStoreIsDown starts an entry while the store is down
// and checks that it uses a peer's state until the store is back.
func TestPeersServeStateWhileStoreIsDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, p := newSource(), &peers{}
	s.edit(func() { s.err = codes.New(codes.PlatformDown, "") })
	p.set(watch.Snapshot{Manifest: &core.Manifest{Version: 5}, Fleet: fleet(7, "x", "y"), Entries: []core.Instance{{Name: "other"}}})
	_, got := start(t, s, p)
	until(t, "the peer's state", func() bool { return got.version() == 5 && got.names() == "xy" })
	s.mu.Lock()
	is.Equal(s.reads["entries"], 0)
	s.mu.Unlock()
	s.edit(func() { s.err, s.manifest, s.fleet = nil, &core.Manifest{Version: 6}, fleet(8, "z") })
	until(t, "the store's state", func() bool { return got.version() == 6 && got.names() == "z" })
}

// TestFailuresBackOff counts the calls to a store that is down: 3 to 12 of each
// kind within 3 s.
func TestFailuresBackOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSource()
	s.err = codes.New(codes.PlatformDown, "")
	start(t, s, &peers{})
	_ = clock.Clock{}.Sleep(context.Background(), 3000)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, kind := range []string{"fleet", "manifest", "register"} {
		is.True(s.reads[kind] >= 3)
		is.True(s.reads[kind] <= 12)
	}
}

// TestFleetIsReadInTime measures the longest pause between reads of the list of
// replicas.
func TestFleetIsReadInTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSource()
	_, got := start(t, s, &peers{})
	until(t, "the first list", func() bool { return got.names() == "a" })
	_ = clock.Clock{}.Sleep(context.Background(), 4500)
	s.mu.Lock()
	defer s.mu.Unlock()
	// A leaving replica must receive nothing new after 2 s.
	is.True(s.longestGap <= 1500)
}

// TestPeerReadsReplaceOwnReads counts the reads by an entry whose peer reads
// the same list.
func TestPeerReadsReplaceOwnReads(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSource()
	w, got := start(t, s, &peers{ahead: 1})
	until(t, "the first list", func() bool { return got.names() == "a" })
	reads := func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.reads["fleet"] }
	c := clock.Clock{}
	same := w.PeerState()
	sendFor := func(state watch.PeerState, d clock.Millis) {
		for end := c.Now() + d; c.Now() < end; {
			w.HandlePeerState(state)
			_ = c.Sleep(t.Context(), 100)
		}
	}
	sendFor(watch.PeerState{Fleet: same.Fleet, Members: same.Members, Age: 50}, 3000)
	is.Equal(reads(), 1) // the peer's reads suffice
	revision, age := w.FleetAge()
	is.Equal(revision, same.Fleet)
	is.True(age < 300)
	is.True(w.PeerState().Age >= 3000) // a peer's read is not relayed
	sendFor(watch.PeerState{Fleet: same.Fleet, Members: same.Members, Age: 5000}, 1500)
	is.Equal(reads(), 2) // the peer has stopped reading
	sendFor(watch.PeerState{Fleet: same.Fleet}, 3000)
	is.True(reads() >= 4) // the peer's list can't be compared
	s.edit(func() { s.fleet = fleet(9, "b") })
	next := fleet(9, "b")
	sentAt := c.Now()
	w.HandlePeerState(watch.PeerState{Fleet: 9, Members: next.Fingerprint()})
	until(t, "the peer's list", func() bool { return got.names() == "b" })
	is.True(c.Now()-sentAt < 100)
}

// TestAnOlderListIsIgnored has the store return a list with a lower revision.
func TestAnOlderListIsIgnored(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSource()
	s.fleet = fleet(9, "a", "b")
	_, got := start(t, s, &peers{})
	until(t, "the first list", func() bool { return got.names() == "ab" })
	s.edit(func() { s.fleet = fleet(4, "a") })
	_ = clock.Clock{}.Sleep(context.Background(), 1500)
	is.Equal(got.names(), "ab")
	s.edit(func() { s.fleet = fleet(10, "b") })
	until(t, "the next list", func() bool { return got.names() == "b" })
}

// TestRejectedEntryReadsFromPeer has the store reject one entry's calls. The
// entry must receive the departure of a replica from a peer within 2 s. That took
// too long when an entry queried its peers only after a failed read of its own,
// with a backoff of up to 2.4 s.
func TestRejectedEntryReadsFromPeer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, p := newSource(), &peers{}
	s.fleet = fleet(5, "a", "b")
	w, got := start(t, s, p)
	until(t, "the first list", func() bool { return got.names() == "ab" })
	s.edit(func() { s.err = codes.New(codes.PlatformDown, "") })
	// The backoff has reached its maximum after this loop. Meanwhile a peer
	// reads the store.
	for range 12 {
		w.HandlePeerState(watch.PeerState{Age: 100})
		_ = clock.Clock{}.Sleep(context.Background(), 500)
	}
	next := fleet(9, "b")
	p.set(watch.Snapshot{Fleet: next})
	sentAt := clock.Clock{}.Now()
	w.HandlePeerState(watch.PeerState{Fleet: 9, Members: next.Fingerprint(), Age: 50})
	until(t, "the peer's list", func() bool { return got.names() == "b" })
	is.True(clock.Clock{}.Now()-sentAt < 300)
}

// TestOnlyAnOutageForAllKeepsReplicas removes a replica while the store
// rejects this entry's calls. The replica may be kept only if no entry could
// read the store: when an entry treated its own failures as an outage, it kept
// sending requests to replicas that had left.
func TestOnlyAnOutageForAllKeepsReplicas(t *testing.T) {
	for name, alone := range map[string]bool{"this entry alone": true, "all entries": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSource()
			s.fleet = fleet(5, "a", "b")
			w, got := start(t, s, &peers{})
			until(t, "the first list", func() bool { return got.names() == "ab" })
			s.edit(func() { s.err = codes.New(codes.PlatformDown, "") })
			c := clock.Clock{}
			for end := c.Now() + 4000; c.Now() < end; {
				if alone {
					w.HandlePeerState(watch.PeerState{Age: 100})
				}
				_ = c.Sleep(context.Background(), 500)
			}
			s.edit(func() { s.err, s.fleet = nil, fleet(6, "b") })
			reads := func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.reads["fleet"] }
			before := reads()
			until(t, "the next read", func() bool { return reads() > before })
			readAt := c.Now()
			until(t, "the list without it", func() bool { return got.names() == "b" })
			kept := c.Now() - readAt
			// Rows come back within 2 s of an outage.
			is.True(alone && kept < 1000 || !alone && kept >= 2000)
		})
	}
}

// TestMissingRowIsWrittenAgain removes the entry's own row and checks that the
// entry registers again.
func TestMissingRowIsWrittenAgain(t *testing.T) {
	t.Parallel()
	s := newSource()
	start(t, s, &peers{})
	listed := func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.entries) == 1 }
	until(t, "the entry's row", listed)
	s.edit(func() { s.entries = nil })
	until(t, "the row again", listed)
}
