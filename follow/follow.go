package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/notify"
)

// Source reads the platform's store.
type Source interface {
	Manifest(ctx context.Context) (m *core.Manifest, revision int64, err error)
	// ManifestAfter waits for a manifest written after the revision; it is nil
	// if none came in time. Its error is [codes.HistoryLost] where the changes
	// are no longer known.
	ManifestAfter(ctx context.Context, revision int64, wait clock.Millis) (m *core.Manifest, now int64, err error)
	// Fleet returns the replicas, and how many rows could not be read.
	Fleet(ctx context.Context) (fleet core.Fleet, unread int, err error)
	Entries(ctx context.Context) (list []core.Instance, revision int64, err error)
	EntriesChanged(ctx context.Context, revision int64, wait clock.Millis) (changed bool, now int64, err error)
	Register(ctx context.Context, in core.Instance) error
	Withdraw(ctx context.Context, name string) error
}

// View is what a peer has.
type View struct {
	Manifest *core.Manifest
	Fleet    core.Fleet
	Entries  []core.Instance
}

// Peers asks the other entries.
type Peers interface {
	// View returns what a peer has that has a manifest above the version or
	// a list of replicas above the revision; entries says that the table of
	// entries is wanted too. It returns false if there is no such peer.
	View(ctx context.Context, manifest, fleet int64, entries bool) (View, bool)
	// Ahead returns how many live entries read the list of replicas before
	// this one if they can.
	Ahead() int
}

// PeerState is what a peer tells of the store.
type PeerState struct {
	// Manifest is the version that it has in force.
	Manifest int64 `json:"manifest,omitempty"`
	// Fleet is the revision of its list of replicas, and Members what the list
	// comes to; zero says that it can't be compared.
	Fleet   int64  `json:"fleet,omitempty"`
	Members uint64 `json:"members,omitempty"`
	// Age is how long ago the peer itself read the list.
	Age clock.Millis `json:"age,omitempty"`
}

// Times of the follower.
const (
	// fleetEvery is how old the last reading of the list of replicas, by any
	// entry that has the same list, may become. Each entry that is ahead of
	// this one adds turnStep, up to turnMost, for its reading to be heard of.
	// With the reading itself the sum stays well under the 2 s within which a
	// leaving replica must get nothing new.
	fleetEvery clock.Millis = 1000
	turnStep   clock.Millis = 250
	turnMost   clock.Millis = 500
	// waitFor is how long the store is asked to wait for a change, under the 30 s
	// that it allows. Peers that hear of one earlier tell.
	waitFor = 25 * clock.Second
	// retryLeast and retryMost bound the backoff after a failed call. All
	// entries share the store's rate.
	retryLeast clock.Millis = 150
	retryMost  clock.Millis = 1200
	// outageLeast is how long no entry must have read the list, beyond the
	// pause between two readings, for the store to count as having been away:
	// replicas write their rows about as often.
	outageLeast clock.Millis = 1800
	// settleTime is how long a replica that is missing from the list is kept
	// after the store was away. Replicas write their rows again within two
	// seconds.
	settleTime clock.Millis = 2300
	// entriesPause lies between a change of the table of entries and the next
	// reading of it: entries that start at once are read at once. A new one
	// makes itself known to those that it finds there.
	entriesPause clock.Millis = 3000
	// updateDelay is how long what a peer has already may take to come from the
	// store, before the peer is asked: some answers of the store.
	updateDelay clock.Millis = 150
)

// Follower follows the store. Source and Self are needed.
type Follower struct {
	Source Source
	Peers  Peers
	// Self is the row by which others find this entry.
	Self core.Instance
	// OnManifest, OnFleet and OnEntries take over what was read. OnManifest
	// ignores a version that is not above the one in force.
	OnManifest func(*core.Manifest)
	OnFleet    func(core.Fleet)
	OnEntries  func([]core.Instance)
	Clock      clock.Clock
	Log        *zap.Logger
	Meter      *meter.Set

	// manifest is the version in force, newest the highest that a peer has.
	manifest, newest atomic.Int64
	// told is the highest revision at which a peer has another list, and
	// wanted says that the list is to be read for it.
	told   atomic.Int64
	wanted atomic.Bool
	// updates wakes what asks the peers, and due what reads the list.
	updates, due notify.Signal
	// leaving says that this entry's row is not to be written any more.
	leaving atomic.Bool

	mu      sync.Mutex
	fleet   core.Fleet
	members uint64
	// read is the instant of this entry's last reading, shared that of the last
	// one by a peer with the same members, confirmed the last one by any entry,
	// and settled the one up to which missing replicas are kept.
	read, shared, confirmed, settled clock.Millis
	entries                          []core.Instance
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var g errgroup.Group
	g.Go(func() error { f.followFleet(ctx); return nil })
	g.Go(func() error { f.followManifest(ctx); return nil })
	g.Go(func() error { f.followEntries(ctx); return nil })
	g.Go(func() error { f.followPeers(ctx); return nil })
	// The loops end with ctx and return nothing else.
	_ = g.Wait()
}

// Leave removes this entry's row for good.
func (f *Follower) Leave(ctx context.Context) error {
	f.leaving.Store(true)
	return f.Source.Withdraw(ctx, f.Self.Name)
}

// Heard takes note of what a peer tells. A list with the same members spares
// this entry a reading of its own.
func (f *Follower) Heard(n PeerState) {
	raised := n.Manifest > f.manifest.Load() && raise(&f.newest, n.Manifest)
	f.mu.Lock()
	at := f.Clock.Now() - n.Age
	f.confirm(at)
	same := n.Members == f.members
	if same && n.Members != 0 {
		f.shared = max(f.shared, at)
	}
	other := n.Fleet > f.fleet.Revision && !same && n.Members != 0
	f.mu.Unlock()
	other = other && raise(&f.told, n.Fleet)
	if other {
		f.wanted.Store(true)
		f.due.Send()
	}
	if other || raised {
		f.updates.Send()
	}
}

// raise sets a value to a higher one and reports whether it was lower.
func raise(v *atomic.Int64, to int64) bool {
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

// View returns what this entry has, for a peer.
func (f *Follower) View() (core.Fleet, []core.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet, f.entries
}

// Told returns what this entry tells its peers. A list in which missing
// replicas are kept is not to be compared. The age is that of the entry's own
// reading: one that is passed on would look newer at each step.
func (f *Follower) Told() PeerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	n := PeerState{Manifest: f.manifest.Load(), Fleet: f.fleet.Revision, Members: f.members, Age: now - f.read}
	if now < f.settled {
		n.Members = 0
	}
	return n
}

// Age returns the revision of the list of replicas and how long ago it held,
// by this entry's reading or by a peer's.
func (f *Follower) Age() (revision int64, age clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet.Revision, f.Clock.Now() - max(f.read, f.shared)
}

// backoff counts the failures of one loop in a row, and logs the first and
// the end of them.
type backoff struct {
	follower *Follower
	what     string
	failures int
	since    clock.Millis
}

// failed waits before the next try.
func (b *backoff) failed(ctx context.Context, err error) {
	f := b.follower
	if ctx.Err() != nil {
		return
	}
	f.Meter.Add("store_failures_total", 1, "table", b.what)
	if b.failures == 0 {
		b.since = f.Clock.Now()
		f.log().Warn("follow: the store can't be read", zap.String("table", b.what), zap.Error(err))
	}
	pause := min(retryLeast<<min(b.failures, 4), retryMost)
	b.failures++
	pause += clock.Millis(rand.Int64N(int64(pause)))
	// The loop looks at ctx itself.
	_ = f.Clock.Sleep(ctx, pause)
}

func (b *backoff) worked() {
	if b.failures > 0 {
		b.follower.log().Info("follow: the store can be read again", zap.String("table", b.what),
			zap.Int("failures", b.failures), zap.Int64("away", int64(b.follower.Clock.Now()-b.since)))
	}
	b.failures = 0
}

// followFleet reads the list of replicas whenever no entry has read it for a
// while, and when a peer has another one.
func (f *Follower) followFleet(ctx context.Context) {
	b := backoff{follower: f, what: "replicas"}
	for ctx.Err() == nil {
		if pause := f.pause(); pause > 0 {
			f.due.Wait(ctx, f.Clock, pause)
			continue
		}
		fleet, unread, err := f.Source.Fleet(ctx)
		if err != nil {
			f.askPeers(ctx)
			b.failed(ctx, err)
			continue
		}
		b.worked()
		if unread > 0 {
			f.Meter.Add("rows_unread_total", unread)
		}
		f.takeFleet(fleet)
	}
}

// pause returns how long the list need not be read.
func (f *Follower) pause() clock.Millis {
	if f.wanted.Swap(false) {
		return 0
	}
	turn := clock.Millis(0)
	if f.Peers != nil {
		turn = min(turnStep*clock.Millis(f.Peers.Ahead()), turnMost)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.read == 0 {
		return 0
	}
	return max(f.read, f.shared) + fleetEvery + turn - f.Clock.Now()
}

// takeFleet takes over a list that was read from the store.
func (f *Follower) takeFleet(fleet core.Fleet) {
	now := f.Clock.Now()
	f.mu.Lock()
	if fleet.Revision < f.fleet.Revision {
		have := f.fleet.Revision
		f.mu.Unlock()
		f.log().Warn("follow: the list of replicas is older than the one in force",
			zap.Int64("revision", fleet.Revision), zap.Int64("have", have))
		return
	}
	f.confirm(now)
	f.read = now
	fleet = f.replace(fleet)
	f.mu.Unlock()
	f.OnFleet(fleet)
}

// replace puts a list in force and returns it with the replicas that are kept.
// The caller holds the lock.
func (f *Follower) replace(fleet core.Fleet) core.Fleet {
	if f.Clock.Now() < f.settled {
		fleet.Replicas = withMissing(fleet.Replicas, f.fleet.Replicas)
	}
	f.fleet, f.members = fleet, fleet.Members()
	return fleet
}

// confirm takes note of a reading of the store by any entry: one that alone is
// turned away learns from the others' that the store isn't away. After a gap
// replicas that are missing are kept for a while. The caller holds the lock.
func (f *Follower) confirm(at clock.Millis) {
	if away := at - f.confirmed; f.confirmed != 0 && away > outageLeast+fleetEvery {
		f.settled = f.Clock.Now() + settleTime
		f.log().Info("follow: missing replicas are kept for a while", zap.Int64("away", int64(away)))
	}
	f.confirmed = max(f.confirmed, at)
}

// withMissing adds the replicas of the earlier list that a list lacks.
func withMissing(list, earlier []core.Replica) []core.Replica {
	have := make(map[string]bool, len(list))
	for i := range list {
		have[list[i].Name] = true
	}
	for _, r := range earlier {
		if !have[r.Name] {
			list = append(list, r)
		}
	}
	return list
}

// followManifest waits for one manifest after the other.
func (f *Follower) followManifest(ctx context.Context) {
	b := backoff{follower: f, what: "manifest"}
	revision := int64(0)
	for ctx.Err() == nil {
		var m *core.Manifest
		var err error
		var now int64
		if revision == 0 {
			m, now, err = f.Source.Manifest(ctx)
		} else {
			m, now, err = f.Source.ManifestAfter(ctx, revision, waitFor)
		}
		if codes.Has(err, codes.BadDocument) {
			f.Meter.Add("manifests_unread_total", 1)
		}
		if err != nil {
			// The table is read anew: that answers at once, and tells what was
			// missed.
			revision = 0
			b.failed(ctx, err)
			continue
		}
		b.worked()
		f.takeManifest(m, "store")
		if revision = now; now == 0 {
			// Nothing was written yet, which a wait would not know from a
			// reading without it.
			_ = f.Clock.Sleep(ctx, retryLeast)
		}
	}
}

func (f *Follower) takeManifest(m *core.Manifest, from string) {
	if m == nil || m.Version <= f.manifest.Load() {
		return
	}
	old := f.manifest.Swap(m.Version)
	f.log().Info("follow: a manifest is in force", zap.Int64("version", m.Version), zap.Int64("before", old),
		zap.String("from", from), zap.Int("routes", len(m.Routes)), zap.Int("services", len(m.Services)))
	f.OnManifest(m)
}

// followEntries registers this entry and follows the table of entries.
func (f *Follower) followEntries(ctx context.Context) {
	b := backoff{follower: f, what: "entries"}
	registered := false
	revision := int64(0)
	for ctx.Err() == nil {
		if !registered && !f.leaving.Load() {
			if err := f.Source.Register(ctx, f.Self); err != nil {
				b.failed(ctx, err)
				continue
			}
			registered = true
		}
		if revision == 0 {
			list, now, err := f.Source.Entries(ctx)
			if err != nil {
				b.failed(ctx, err)
				continue
			}
			b.worked()
			revision = max(now, 1)
			f.takeEntries(list)
			registered = slices.ContainsFunc(list, func(in core.Instance) bool { return in.Name == f.Self.Name })
			if !registered && !f.leaving.Load() {
				// Another entry took this one for gone.
				f.log().Warn("follow: this entry's row is missing and is written again")
				continue
			}
		}
		changed, now, err := f.Source.EntriesChanged(ctx, revision, waitFor)
		switch {
		case codes.Has(err, codes.HistoryLost):
			revision = 0
		case err != nil:
			b.failed(ctx, err)
		case changed:
			// The loop looks at ctx itself.
			_ = f.Clock.Sleep(ctx, entriesPause)
			revision = 0
		default:
			revision = max(now, 1)
		}
	}
}

func (f *Follower) takeEntries(list []core.Instance) {
	f.mu.Lock()
	f.entries = list
	f.mu.Unlock()
	f.OnEntries(list)
}

// followPeers asks a peer that has a newer manifest or list, where the store
// doesn't tell of it soon. An entry that the store turns away learns in time
// of replicas that leave.
func (f *Follower) followPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.updates.C():
		}
		if f.Clock.Sleep(ctx, updateDelay) != nil {
			return
		}
		revision, _ := f.Age()
		if f.newest.Load() > f.manifest.Load() || f.told.Load() > revision {
			f.askPeers(ctx)
		}
	}
}

// askPeers takes over what a peer has that is newer.
func (f *Follower) askPeers(ctx context.Context) {
	if f.Peers == nil {
		return
	}
	f.mu.Lock()
	revision, first := f.fleet.Revision, len(f.entries) == 0
	f.mu.Unlock()
	v, ok := f.Peers.View(ctx, f.manifest.Load(), revision, first)
	if !ok {
		return
	}
	f.takeManifest(v.Manifest, "peer")
	f.mu.Lock()
	newer := v.Fleet.Revision > f.fleet.Revision
	if newer {
		v.Fleet = f.replace(v.Fleet)
	}
	f.mu.Unlock()
	if newer {
		f.OnFleet(v.Fleet)
	}
	if first && len(v.Entries) > 0 {
		f.takeEntries(v.Entries)
	}
}

func (f *Follower) log() *zap.Logger {
	if f.Log == nil {
		return zap.NewNop()
	}
	return f.Log
}
