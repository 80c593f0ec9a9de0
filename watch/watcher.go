package watch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/notify"
)

// Source reads and writes the platform's store.
type Source interface {
	// Manifest returns the manifest, or nil if none was written, and the
	// version of the store. Its error is [codes.BadDocument] if the manifest is
	// invalid; the version is then valid.
	Manifest(ctx context.Context) (m *core.Manifest, version core.StoreVersion, err error)
	// ManifestAfter waits for a manifest written after the version and
	// returns nil if none was written in time. Its error is
	// [codes.HistoryLost] if the store doesn't have the changes since the
	// version, and [codes.BadDocument] if the newest manifest is invalid; m, an
	// earlier one, and the version are then valid.
	ManifestAfter(ctx context.Context, after core.StoreVersion, wait clock.Millis) (m *core.Manifest, now core.StoreVersion, err error)
	// Fleet returns the replicas and the rows that name no replica to use.
	Fleet(ctx context.Context) (fleet core.Fleet, bad []core.BadRow, err error)
	// Entries returns the table of entries and its version.
	Entries(ctx context.Context) (list []core.Instance, version core.StoreVersion, err error)
	// EntriesChanged waits for a change of the table of entries after the
	// version. Its error is [codes.HistoryLost] as that of ManifestAfter.
	EntriesChanged(ctx context.Context, after core.StoreVersion, wait clock.Millis) (changed bool, now core.StoreVersion, err error)
	// Register writes an entry's row, and Deregister deletes it.
	Register(ctx context.Context, in core.Instance) error
	Deregister(ctx context.Context, name string) error
}

// Snapshot is a peer's copy of the store.
type Snapshot struct {
	Manifest *core.Manifest
	Fleet    core.Fleet
	// Age is the time since the list of replicas was read.
	Age clock.Millis
	// Entries is the table of entries, of the version Table.
	Entries []core.Instance
	Table   core.StoreVersion
}

// Peers requests state from the other entries.
type Peers interface {
	// Snapshot returns the copy of a peer whose versions are above those of have. If
	// entries is set, it includes the table of entries. It returns false if no live
	// peer has reported newer state, or if the request fails. With entries, a peer
	// with the newest table is asked if one is newer than that of have.
	Snapshot(ctx context.Context, have PeerState, entries bool) (Snapshot, bool)
	// Relayed reports whether entries report to some others only ([Turn]).
	Relayed() bool
	// Turn returns this entry's place in the order in which they read the store.
	Turn() Turn
}

// PeerState summarizes an entry's copy of the store, so that peers can compare
// it with their own.
type PeerState struct {
	// Manifest is the version of the active manifest.
	Manifest int64 `json:"manifest,omitempty"`
	// Fleet is the revision of the list of replicas, and Members a hash of its
	// members; zero means that the list can't be compared.
	Fleet   int64  `json:"fleet,omitempty"`
	Members uint64 `json:"members,omitempty"`
	// Age is the time since the peer itself read the list, or since any entry did if
	// entries relay the reads of others ([Turn]).
	Age clock.Millis `json:"age,omitempty"`
	// Table is the revision of the table of entries.
	Table int64 `json:"table,omitempty"`
	// Era is the era of the revisions. A list or a table that was read in an earlier one
	// counts as none. Older builds report no era.
	Era int64 `json:"era,omitempty"`
	// Restored is set if this process has seen the era rise. It isn't reported.
	Restored bool `json:"-"`
}

// Intervals and timeouts of a [Watcher].
const (
	// maxFleetAge is the age of the last read of the list of replicas, by any
	// entry with the same list, after which it is read again. Entries that come
	// later in the order wait longer ([Turn.Delay]).
	maxFleetAge clock.Millis = 1000
	// watchTimeout is how long one call waits for a change in the store, which
	// allows 30 s at most. Peers report a change that they see earlier.
	watchTimeout = 25 * clock.Second
	// minBackoff and maxBackoff bound the backoff after a failed call, without
	// its jitter. All entries share the store's rate limit.
	minBackoff clock.Millis = 150
	maxBackoff clock.Millis = 1200
	// minOutage is how long, beyond maxFleetAge, no entry must have read the
	// list for the store to count as having been down. Replicas write their
	// rows about as often.
	minOutage clock.Millis = 1800
	// keepMissingFor is how long replicas that are missing from the list are
	// kept after an outage of the store. Replicas write their rows again
	// within 2 s.
	keepMissingFor clock.Millis = 2300
	// entriesReadDelay is the delay between a change of the table of entries
	// and the next read of it, so that entries that start together cause a
	// single read. A new entry sends its heartbeats to those already listed,
	// so they don't depend on this read.
	entriesReadDelay clock.Millis = 3000
	// joinDelay is how long an entry that starts together with all others waits after
	// it has registered: a few hundred write their rows within it. maxJoinTime is how
	// long it waits for the table before it reads the list of replicas.
	joinDelay   = 1 * clock.Second
	maxJoinTime = 4 * clock.Second
	// maxTableAge is how long an entry that isn't a reader ([Turn]) relies on others
	// for the table of entries.
	maxTableAge = 1 * clock.Minute
	// peerRequestDelay is how long an update that a peer already has may take
	// to arrive from the store before it is requested from the peer: the time
	// of a few store responses. If reads are relayed, this entry doesn't read by
	// itself, and only updates of several peers are combined.
	peerRequestDelay    clock.Millis = 150
	relayedRequestDelay clock.Millis = 20
	// peerRetryPause is the least pause before peers are asked again that have failed to
	// answer, and maxPeerRetryPause that without a further report.
	peerRetryPause    clock.Millis = 200
	maxPeerRetryPause              = 1 * clock.Second
	// rereadPause is the least pause between two reads of the manifest because this entry is
	// behind; it doubles up to watchTimeout.
	rereadPause clock.Millis = 400
)

// Watcher keeps a copy of the store up to date. Source, Self, OnManifest,
// OnFleet and OnEntries are required.
type Watcher struct {
	Source Source
	Peers  Peers
	// Self is this entry's row in the table of entries.
	Self core.Instance
	// OnManifest, OnFleet and OnEntries are called with each new state, read
	// from the store or a peer. The versions of manifests only increase.
	OnManifest func(*core.Manifest)
	OnFleet    func(core.Fleet)
	OnEntries  func([]core.Instance)
	// OnRestore, if not nil, is called when the store was restored from an older copy, so
	// that what this entry wrote there is written again. It must not block.
	OnRestore func()
	// Fresh is set if all entries start together. They then let the table of entries
	// fill before they read it, and read the list of replicas in turns from the start.
	Fresh bool
	Clock clock.Clock
	Log   *zap.Logger
	Meter *meter.Registry

	// manifestVersion is the active version, newestManifest the highest one
	// that a peer has reported, first at reportedAt.
	manifestVersion, newestManifest, reportedAt atomic.Int64
	// manifestReadAt is the instant of the last answer of the store about the manifest.
	manifestReadAt atomic.Int64
	// readNow requests an immediate read of the list of replicas.
	readNow atomic.Bool
	// peerUpdate wakes [Watcher.watchPeers], and fleetDue wakes
	// [Watcher.watchFleet].
	peerUpdate, fleetDue notify.Signal
	// endFeed ends the call that waits for a change of the manifest; nil while there is none.
	endFeed atomic.Pointer[context.CancelCauseFunc]
	// tableDue wakes [Watcher.watchEntries], since a peer has reported a newer table.
	tableDue notify.Signal
	// leaving stops this entry from writing its row again.
	leaving atomic.Bool

	// install is held while a state is compared with the current one, stored and passed to
	// its callback, so that an older state never follows a newer one. It is taken before mu.
	install sync.Mutex

	// mu guards the fields below.
	mu sync.Mutex
	// fleet is the list of replicas in use, and listed the same one as it was read, without
	// the changes of setFleet. Peers are told of listed. usedHash and membersHash are their
	// fingerprints.
	fleet, listed         core.Fleet
	usedHash, membersHash uint64
	// readAt is the instant of this entry's last read of the list, peerReadAt
	// that of the last read by a peer with the same members, and confirmedAt
	// that of the last read by any entry. Until keepMissingUntil, missing
	// replicas are kept.
	readAt, peerReadAt, confirmedAt, keepMissingUntil clock.Millis
	entries                                           []core.Instance
	// table is the version of entries. startedAt is the instant at which Run began,
	// and joinedAt that of the first reading of the table.
	table               core.StoreVersion
	startedAt, joinedAt clock.Millis
	// peerFleet is the newest version at which a peer has reported a different list of
	// replicas, and peerTable that at which one has reported the table of entries.
	peerFleet, peerTable core.StoreVersion
	eras                 eras
}

// Run keeps the copy up to date until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.mu.Lock()
	w.startedAt = w.Clock.Now()
	w.mu.Unlock()
	var g errgroup.Group
	g.Go(func() error { w.watchFleet(ctx); return nil })
	g.Go(func() error { w.watchManifest(ctx); return nil })
	g.Go(func() error { w.watchEntries(ctx); return nil })
	g.Go(func() error { w.watchPeers(ctx); return nil })
	// The loops return nil once ctx ends.
	_ = g.Wait()
}

// Deregister removes this entry's row from the store and never writes it again.
func (w *Watcher) Deregister(ctx context.Context) error {
	w.leaving.Store(true)
	return w.Source.Deregister(ctx, w.Self.Name)
}

// HandlePeerState processes the state that a peer reports. If the peer has read a
// list with the same members, this entry's own next read is postponed.
func (w *Watcher) HandlePeerState(s PeerState) {
	newerManifest := s.Manifest > w.manifestVersion.Load()
	if newerManifest && storeMax(&w.newestManifest, s.Manifest) {
		w.reportedAt.Store(int64(w.Clock.Now()))
		w.log().Info("watch: a peer has a newer manifest", zap.Int64("version", s.Manifest), zap.Int64("have", w.manifestVersion.Load()))
	}
	if s.Era > 0 {
		w.enterEra(s.Era, "peer")
	}
	relayed := w.relayed()
	w.mu.Lock()
	s.Era = w.inOwnEra(s.Era)
	table := core.StoreVersion{Era: s.Era, Revision: s.Table}
	newerTable := s.Table > 0 && table.Newer(w.peerTable)
	if newerTable {
		w.peerTable = table
	}
	at := w.Clock.Now() - s.Age
	if relayed {
		at -= hopDelay
	}
	w.recordRead(at)
	list := core.StoreVersion{Era: s.Era, Revision: s.Fleet}
	same := s.Members == w.membersHash
	if same && s.Members != 0 && list.Newer(w.listed.Version()) {
		// The list is that of the newer version, too.
		w.fleet.Era, w.fleet.Revision = s.Era, s.Fleet
		w.listed.Era, w.listed.Revision = s.Era, s.Fleet
	}
	drop := false
	if same && s.Members != 0 && s.Era == w.fleet.Era {
		w.peerReadAt = max(w.peerReadAt, at)
		drop = w.keeping() && at >= w.keepMissingUntil
	}
	newerFleet := list.Newer(w.fleet.Version()) && !same && s.Members != 0
	if newerFleet && list.Newer(w.peerFleet) {
		w.peerFleet = list
	}
	w.mu.Unlock()
	if drop {
		w.dropKept()
	}
	if newerTable {
		w.tableDue.Send()
	}
	if newerFleet && !relayed {
		w.fleetDue.Send()
	}
	if newerFleet || newerManifest {
		w.peerUpdate.Send()
	}
}

// storeMax stores to in v if it is higher than the current value, and reports
// whether it did.
func storeMax(v *atomic.Int64, to int64) bool {
	for {
		old := v.Load()
		if to <= old {
			return false
		}
		if v.CompareAndSwap(old, to) {
			return true
		}
	}
}

// Snapshot returns the replicas as they were read and the table of entries, to answer a peer.
func (w *Watcher) Snapshot() Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Snapshot{Fleet: w.listed, Age: w.Clock.Now() - max(w.readAt, w.peerReadAt), Entries: w.entries, Table: w.table}
}

// PeerState returns the state to report to the peers. Unless reads are relayed, the age is
// that of the entry's own read.
func (w *Watcher) PeerState() PeerState {
	relayed := w.relayed()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Now()
	s := PeerState{Manifest: w.manifestVersion.Load(), Age: now - w.readAt, Era: w.eras.current, Restored: w.eras.rises > 0}
	if w.fleet.Era == s.Era {
		s.Fleet, s.Members = w.fleet.Revision, w.membersHash
	}
	if w.table.Era == s.Era {
		s.Table = w.table.Revision
	}
	if relayed {
		s.Age = now - max(w.readAt, w.peerReadAt)
	}
	return s
}

// ManifestState tells how current the manifest is.
type ManifestState struct {
	// Version is the active version, and Reported the highest one that a peer has reported.
	Version, Reported int64
	// Behind is the time since a peer first reported the latter, zero unless it is newer.
	Behind clock.Millis
	// ReadAge is the time since the store last answered a call for the manifest, which
	// it does within the 25 s that a call waits for a change.
	ReadAge clock.Millis
}

// ManifestState returns how current the manifest is.
func (w *Watcher) ManifestState() ManifestState {
	now := w.Clock.Now()
	s := ManifestState{Version: w.manifestVersion.Load(), Reported: w.newestManifest.Load(), ReadAge: now - clock.Millis(w.manifestReadAt.Load())}
	if s.Reported > s.Version {
		s.Behind = now - clock.Millis(w.reportedAt.Load())
	}
	return s
}

// FleetAge returns the revision of the list of replicas and the time since this
// entry or a peer last read it with the same members.
func (w *Watcher) FleetAge() (revision int64, age clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fleet.Revision, w.Clock.Now() - max(w.readAt, w.peerReadAt)
}

// backoff delays one loop of a Watcher after consecutive failures, and logs the
// first failure and the recovery.
type backoff struct {
	watcher  *Watcher
	table    string
	failures int
	since    clock.Millis
}

// failed records a failure and sleeps for the backoff: exponential, with up to
// the same time again as jitter.
func (b *backoff) failed(ctx context.Context, err error) {
	w := b.watcher
	if ctx.Err() != nil {
		return
	}
	w.Meter.Add("store_failures_total", 1, "table", b.table)
	if b.failures == 0 {
		b.since = w.Clock.Now()
		w.log().Warn("watch: access to the store failed", zap.String("table", b.table), zap.Error(err))
	}
	pause := min(minBackoff<<min(b.failures, 4), maxBackoff)
	b.failures++
	pause += clock.Millis(rand.Int64N(int64(pause)))
	// The caller's loop checks ctx.
	_ = w.Clock.Sleep(ctx, pause)
}

// succeeded resets the backoff after a call that succeeded.
func (b *backoff) succeeded() {
	if b.failures > 0 {
		b.watcher.log().Info("watch: access to the store recovered", zap.String("table", b.table),
			zap.Int("failures", b.failures), zap.Int64("away", int64(b.watcher.Clock.Now()-b.since)))
	}
	b.failures = 0
}

// watchFleet reads the list of replicas when no entry has read it for a while,
// and when a peer reports a different one.
func (w *Watcher) watchFleet(ctx context.Context) {
	b := backoff{watcher: w, table: "replicas"}
	var known map[string]bool
	for ctx.Err() == nil {
		if pause := w.untilNextRead(); pause > 0 {
			w.fleetDue.Wait(ctx, w.Clock, pause)
			continue
		}
		fleet, bad, err := w.Source.Fleet(ctx)
		if err != nil {
			w.requestSnapshot(ctx, false)
			b.failed(ctx, err)
			continue
		}
		b.succeeded()
		known = w.reportBadRows(known, bad)
		if !w.enterEra(fleet.Era, "store") || !w.applyFleet(fleet, known) || w.mustRead() {
			// The loop checks ctx.
			_ = w.Clock.Sleep(ctx, minBackoff)
		}
	}
}

// maxBadRowLines limits the lines about bad rows that one read logs.
const maxBadRowLines = 50

// reportBadRows counts the bad rows and logs those that aren't in known, the keys of the
// previous ones. It returns the keys.
func (w *Watcher) reportBadRows(known map[string]bool, bad []core.BadRow) map[string]bool {
	if len(bad) == 0 {
		return nil
	}
	w.Meter.Add("rows_unread_total", len(bad))
	keys := make(map[string]bool, len(bad))
	lines := 0
	for _, r := range bad {
		keys[r.Key] = true
		if known[r.Key] {
			continue
		}
		if lines++; lines <= maxBadRowLines {
			w.log().Warn("watch: a row names no replica to use", zap.String("row", r.Key), zap.String("reason", r.Reason))
		}
	}
	if lines > maxBadRowLines {
		w.log().Warn("watch: more rows name no replica to use", zap.Int("rows", lines-maxBadRowLines))
	}
	return keys
}

// untilNextRead returns the time until the list must be read. It is zero
// before the first read, unless all entries start together, and after a peer has
// reported a different list.
func (w *Watcher) untilNextRead() clock.Millis {
	if w.readNow.Swap(false) || w.mustRead() {
		return 0
	}
	turn := w.turn()
	delay := turn.Delay()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Now()
	last := max(w.readAt, w.peerReadAt)
	if turn.first() && w.readAt > 0 {
		// A report that waited at a frozen entry tells of a read as more recent than it is.
		last = w.readAt
	}
	switch {
	case last > 0 && (w.Fresh || w.readAt > 0):
		return last + maxFleetAge + delay - now
	case !w.Fresh:
		return 0
	case w.joinedAt == 0:
		return w.startedAt + maxJoinTime - now
	}
	return w.joinedAt + delay - now
}

// watchManifest reads the manifest and then waits for its changes.
func (w *Watcher) watchManifest(ctx context.Context) {
	b := backoff{watcher: w, table: "manifest"}
	var version core.StoreVersion
	for ctx.Err() == nil {
		var m *core.Manifest
		var err error
		var now core.StoreVersion
		var ended bool
		if version.Revision == 0 {
			m, now, err = w.Source.Manifest(ctx)
		} else {
			ended, err = w.follow(ctx, version, func(ctx context.Context) error {
				feed, end := context.WithCancelCause(ctx)
				defer end(nil)
				w.endFeed.Store(&end)
				m, now, err = w.Source.ManifestAfter(feed, version, watchTimeout)
				w.endFeed.Store(nil)
				if err != nil && errors.Is(context.Cause(feed), errBehind) {
					return errBehind
				}
				return err
			})
		}
		switch {
		case ended:
			version = core.StoreVersion{}
			w.spread(ctx)
			continue
		case errors.Is(err, errBehind):
			version = core.StoreVersion{}
			continue
		}
		if codes.Has(err, codes.BadDocument) {
			// The one in force stays. The store has no other until the next change.
			w.Meter.Add("manifests_unread_total", 1)
			w.log().Warn("watch: ignored an invalid manifest", zap.Int64("revision", now.Revision), zap.Error(err))
			err = nil
		}
		if err != nil {
			// Read the manifest again instead of waiting for a change: the
			// read returns at once and includes what was missed.
			version = core.StoreVersion{}
			b.failed(ctx, err)
			continue
		}
		b.succeeded()
		w.manifestReadAt.Store(int64(w.Clock.Now()))
		if !w.enterEra(now.Era, "store") {
			version = core.StoreVersion{}
			_ = w.Clock.Sleep(ctx, minBackoff)
			continue
		}
		w.applyManifest(m, "store")
		if version = now; now.Revision == 0 {
			// Nothing has been written yet. Revision zero means that nothing was
			// read, so the loop reads again instead of waiting for a change.
			_ = w.Clock.Sleep(ctx, minBackoff)
		}
	}
}

// applyManifest activates a manifest unless its version is not above the
// active one.
func (w *Watcher) applyManifest(m *core.Manifest, from string) {
	w.install.Lock()
	defer w.install.Unlock()
	if m == nil || m.Version <= w.manifestVersion.Load() {
		return
	}
	behind := w.ManifestState().Behind
	old := w.manifestVersion.Swap(m.Version)
	w.log().Info("watch: activated a manifest", zap.Int64("version", m.Version), zap.Int64("before", old),
		zap.String("from", from), zap.Int64("behind", int64(behind)), zap.Int("routes", len(m.Routes)), zap.Int("services", len(m.Services)))
	w.OnManifest(m)
}

// watchEntries registers this entry and follows the table of entries. It
// registers again if its row is missing or the store was restored.
func (w *Watcher) watchEntries(ctx context.Context) {
	b := backoff{watcher: w, table: "entries"}
	registered := false
	var version core.StoreVersion
	readAt, rises := clock.Millis(0), w.rises()
	for ctx.Err() == nil {
		if now := w.rises(); now != rises {
			rises, registered = now, false
			w.spread(ctx)
			if err := w.registerAgain(ctx); err != nil {
				rises--
				b.failed(ctx, err)
				continue
			}
			registered = true
			b.succeeded()
			// The others register meanwhile. The table is read or, if others read it for
			// this entry, awaited from them.
			w.pauseInEra(ctx, rises, entriesReadDelay)
			if w.turn().reader() {
				version = core.StoreVersion{}
			}
			continue
		}
		if !registered && !w.leaving.Load() {
			if err := w.Source.Register(ctx, w.Self); err != nil {
				b.failed(ctx, err)
				continue
			}
			registered = true
			if w.Fresh && version.Revision == 0 && readAt == 0 {
				_ = w.Clock.Sleep(ctx, joinDelay)
			}
		}
		if version.Revision == 0 {
			list, now, err := w.Source.Entries(ctx)
			if err != nil {
				b.failed(ctx, err)
				continue
			}
			b.succeeded()
			if !w.enterEra(now.Era, "store") || w.rises() != rises {
				_ = w.Clock.Sleep(ctx, minBackoff)
				continue
			}
			version, readAt = atLeastOne(now), w.Clock.Now()
			w.applyEntries(list, version)
			registered = slices.ContainsFunc(list, func(in core.Instance) bool { return in.Name == w.Self.Name })
			if !registered && !w.leaving.Load() {
				// Another entry has removed this entry's row, since it seemed
				// dead.
				w.log().Warn("watch: this entry's row is missing, registering again")
				continue
			}
		}
		if !w.turn().reader() {
			w.tableDue.Wait(ctx, w.Clock, maxTableAge)
			w.pauseInEra(ctx, rises, entriesReadDelay)
			if w.rises() != rises {
				continue
			}
			if w.newestTable().Newer(version) {
				version = w.tableFromPeer(ctx)
			} else if w.Clock.Now()-readAt > maxTableAge {
				// The entries that read it for the others may be gone.
				version = core.StoreVersion{}
			}
			continue
		}
		var changed bool
		var now core.StoreVersion
		ended, err := w.follow(ctx, version, func(ctx context.Context) (err error) {
			changed, now, err = w.Source.EntriesChanged(ctx, version, watchTimeout)
			return err
		})
		switch {
		case ended || codes.Has(err, codes.HistoryLost):
			version = core.StoreVersion{}
		case err != nil:
			b.failed(ctx, err)
		case changed:
			w.pauseInEra(ctx, rises, entriesReadDelay)
			version = core.StoreVersion{}
		default:
			version = atLeastOne(now)
		}
	}
}

// registerAgain writes this entry's row, or its removal if the entry has left, to a store
// that was restored from a copy that may lack it.
func (w *Watcher) registerAgain(ctx context.Context) error {
	if w.leaving.Load() {
		return w.Source.Deregister(ctx, w.Self.Name)
	}
	return w.Source.Register(ctx, w.Self)
}

// atLeastOne returns the version with a revision of at least one, since zero means that
// nothing was read.
func atLeastOne(v core.StoreVersion) core.StoreVersion {
	v.Revision = max(v.Revision, 1)
	return v
}

// newestTable returns the newest version of the table of entries that a peer has reported.
func (w *Watcher) newestTable() core.StoreVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peerTable
}

// tableFromPeer requests the table of entries from a peer and returns its version,
// or zero if the table must be read from the store.
func (w *Watcher) tableFromPeer(ctx context.Context) core.StoreVersion {
	w.requestSnapshot(ctx, true)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.peerTable.Newer(w.table) || !slices.ContainsFunc(w.entries, func(in core.Instance) bool { return in.Name == w.Self.Name }) {
		return core.StoreVersion{}
	}
	return w.table
}

// applyEntries installs the table of entries unless it is older than the current one.
func (w *Watcher) applyEntries(list []core.Instance, table core.StoreVersion) {
	w.install.Lock()
	defer w.install.Unlock()
	w.mu.Lock()
	if w.table.Newer(table) && len(w.entries) > 0 {
		w.mu.Unlock()
		return
	}
	w.entries, w.table = list, table
	joined := w.joinedAt == 0
	if joined {
		w.joinedAt = w.Clock.Now()
	}
	w.mu.Unlock()
	w.OnEntries(list)
	if joined {
		w.fleetDue.Send()
	}
}

// log returns Log, or a logger that discards everything.
func (w *Watcher) log() *zap.Logger {
	if w.Log == nil {
		return zap.NewNop()
	}
	return w.Log
}
