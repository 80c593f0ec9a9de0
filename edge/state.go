package edge

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/gossip"
	"lacewinghook.example/lacewinghook/watch"
	"lacewinghook.example/lacewinghook/wire"
)

// applyManifest applies a manifest if its version is newer than the current one.
func (e *Edge) applyManifest(m *core.Manifest) {
	if !e.routes.Apply(m) {
		return
	}
	e.manifestAt.Store(int64(e.Clock.Now()))
	e.applyPool()
	e.gossip.Trigger()
}

// onRestore writes to the store again what this entry wrote there, but for its row, which
// the watcher writes.
func (e *Edge) onRestore() {
	e.tainted.SaveAgain()
	e.requests.SaveAgain()
	// The peers learn of the new era.
	e.gossip.Trigger()
}

// applyFleet applies a list of replicas.
func (e *Edge) applyFleet(fleet core.Fleet) {
	old := e.fleet.Swap(&fleet)
	if old == nil || old.Fingerprint() != fleet.Fingerprint() {
		e.logChanges(old, &fleet)
		e.notices.Apply(fleet.Replicas)
		e.applyPool()
	}
	// Announce the new revision, so that peers don't read the same list again.
	e.gossip.Trigger()
	e.replicas.Retain(fleet.Replicas)
}

// applyPool updates the pool from the current manifest and list of replicas.
func (e *Edge) applyPool() {
	// The manifest and the list arrive on different goroutines. The lock makes
	// the later call see both.
	e.applyMu.Lock()
	defer e.applyMu.Unlock()
	fleet, m := e.fleet.Load(), e.routes.Manifest()
	if fleet == nil || m == nil {
		return
	}
	doc := &core.Document{Version: m.Version}
	for _, r := range fleet.Replicas {
		up := r.Upstream
		if s, ok := m.Service(up.Service); ok && s.Engines != nil && up.Role == core.Decode {
			up.Pieces = s.Engines.Tokens / core.PieceTokens
		}
		doc.Upstreams = append(doc.Upstreams, up)
	}
	e.pool.Apply(doc)
	e.groups.Store(newGroups(doc.Upstreams))
	slotGroups := newSlotGroups(fleet.Replicas)
	e.slotGroups.Store(&slotGroups)
	for _, r := range fleet.Replicas {
		e.pool.Drain(r.Name, r.Leaving)
	}
	e.peerWorkStale.Store(true)
	e.applied.Store(true)
}

// logChanges logs the replicas that were added, removed or changed.
func (e *Edge) logChanges(old, fleet *core.Fleet) {
	before := make(map[string]core.Replica)
	if old != nil {
		for _, r := range old.Replicas {
			before[r.Name] = r
		}
	}
	for _, r := range fleet.Replicas {
		previous, ok := before[r.Name]
		delete(before, r.Name)
		if !ok || previous.Leaving != r.Leaving || previous.Incarnation != r.Incarnation || previous.Role != r.Role {
			e.Log.Info("edge: replica changed", zap.String("replica", r.Name), zap.String("addr", r.Addr),
				zap.String("service", r.Service), zap.String("role", string(r.Role)), zap.Bool("leaving", r.Leaving),
				zap.Bool("new", !ok), zap.Int64("revision", fleet.Revision))
		}
	}
	for name, r := range before {
		e.Log.Info("edge: a replica is gone", zap.String("replica", name), zap.String("addr", r.Addr),
			zap.String("service", r.Service), zap.Int64("revision", fleet.Revision))
	}
}

// spec returns the service's part of the manifest.
func (e *Edge) spec(service string) (core.ServiceSpec, bool) {
	m := e.routes.Manifest()
	if m == nil {
		return core.ServiceSpec{}, false
	}
	return m.Service(service)
}

// self returns this entry's row in the instance list.
func (e *Edge) self() core.Instance {
	s := e.Settings
	in := core.Instance{Name: s.Instance, Addr: s.Callers.Listen, Peer: s.Peers.Listen, Centre: s.Centre, State: core.Live, Share: s.Fleet.Share}
	if e.leaving.Load() {
		in.State = core.Leaving
	}
	return in
}

// heartbeat returns the heartbeat that this entry sends to its peers. It contains
// only the work that matters to their choices (see announce).
func (e *Edge) heartbeat() gossip.Heartbeat {
	h := gossip.Heartbeat{Instance: e.self(), Boot: e.boot, Ready: e.Ready(), PeerState: e.watcher.PeerState()}
	h.Refused = e.notices.Refused(e.gossip.Sparse())
	if e.gossip.Sparse() {
		// Only the owners of the engines need the work ([alloc.Client]).
		return h
	}
	for _, l := range e.pool.Loads() {
		if l.Work.Tokens != 0 || l.Work.Pieces != 0 {
			h.Loads = append(h.Loads, gossip.Load{Upstream: l.Upstream, Requests: l.Work.Requests, Tokens: l.Work.Tokens, Pieces: l.Work.Pieces})
		}
	}
	return h
}

// extendHeartbeat adds what a peer doesn't know of suspects and of replicas that leave.
func (e *Edge) extendHeartbeat(peer string, h *gossip.Heartbeat) {
	h.Leaving = e.notices.WordsFor(peer, e.gossip.Sparse())
	h.Tainted, h.TaintSum = e.tainted.spread.News(peer)
	h.Requests, h.RequestSum = e.requests.spread.News(peer)
}

// onUnsent handles a heartbeat that a peer has not received.
func (e *Edge) onUnsent(peer string) {
	e.notices.Unsent(peer)
	e.tainted.spread.Unsent(peer)
	e.requests.spread.Unsent(peer)
}

// forgetPeer forgets what a peer was told.
func (e *Edge) forgetPeer(peer string) {
	e.notices.ForgetPeer(peer)
	e.tainted.spread.Forget(peer)
	e.requests.spread.Forget(peer)
}

// onHeartbeat handles a peer's heartbeat.
func (e *Edge) onHeartbeat(heartbeat gossip.Heartbeat) {
	peer := heartbeat.Instance.Peer
	e.tainted.spread.Handle(peer, heartbeat.Tainted, heartbeat.TaintSum)
	e.requests.spread.Handle(peer, heartbeat.Requests, heartbeat.RequestSum)
	news := e.notices.HandleWords(heartbeat.Leaving)
	// These words are short-lived, and a crash is found by many entries at once, so that
	// they are passed on only with the next heartbeat.
	e.notices.HandleRefused(heartbeat.Refused)
	switch {
	case !e.gossip.Sparse():
		e.onWork()
	case news:
		e.gossip.Trigger()
	}
	e.watcher.HandlePeerState(heartbeat.PeerState)
}

// onWork marks the known work of other entries as changed.
func (e *Edge) onWork() {
	e.peerWorkStale.Store(true)
	e.peerWork.Send()
}

// wakeInterval is the least pause between two wake-ups of the wait queues. It is
// about the interval at which streams end at the peak of a small site.
const wakeInterval clock.Millis = 10

// wakeQueues wakes waiting requests after peers have sent their work, since
// memory may have become free. It returns when ctx ends.
func (e *Edge) wakeQueues(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.peerWork.C():
		}
		e.relay.Wake()
		if e.Clock.Sleep(ctx, wakeInterval) != nil {
			return
		}
	}
}

// serveSnapshot returns this entry's state to a peer whose state is older. It
// includes the manifest only if it is newer than the peer's.
func (e *Edge) serveSnapshot(_ context.Context, req wire.SnapshotRequest) (wire.Snapshot, error) {
	s := e.watcher.Snapshot()
	v := wire.Snapshot{Fleet: s.Fleet, Age: s.Age}
	if req.Entries {
		v.Entries, v.Table, v.TableEra = s.Entries, s.Table.Revision, s.Table.Era
	}
	if m := e.routes.Manifest(); m != nil && m.Version > req.Manifest {
		v.Manifest = m
	}
	return v, nil
}

// Relayed implements [watch.Peers].
func (e *Edge) Relayed() bool { return e.gossip.Sparse() }

// Turn implements [watch.Peers]. A few entries follow each other in the order of
// their names. Many follow a pseudo-random order, which needs no heartbeats.
func (e *Edge) Turn() watch.Turn {
	t := watch.Turn{Relayed: e.Relayed(), Drain: e.Settings.Fleet.Drain}
	if t.Relayed {
		t.Ahead = int(e.readRank.Load())
		return t
	}
	for _, p := range e.gossip.Live() {
		if p.Name < e.Settings.Instance {
			t.Ahead++
		}
	}
	return t
}

// applyEntries applies the table of entries.
func (e *Edge) applyEntries(list []core.Instance) {
	e.gossip.Merge(list)
	rank := int64(0)
	own := xxhash.Sum64String(e.Settings.Instance)
	for _, in := range list {
		if xxhash.Sum64String(in.Name) < own {
			rank++
		}
	}
	e.readRank.Store(rank)
}

// Intervals for removing the rows of dead entries.
const (
	// deadAfter is the time without a heartbeat after which an entry counts as
	// dead. A restart takes only seconds. An entry that was only disconnected
	// writes its row again.
	deadAfter = 1 * clock.Minute
	// deadCheckInterval is the pause between two checks.
	deadCheckInterval = 20 * clock.Second
)

// removeDeadEntries removes the rows of entries that ended without a graceful
// stop. Only the live entry whose name sorts first does this.
func (e *Edge) removeDeadEntries(ctx context.Context) {
	if live := e.gossip.Live(); len(live) == 0 || live[0].Name < e.Settings.Instance {
		return
	}
	for _, in := range e.gossip.WithoutHeartbeat(deadAfter) {
		err := e.store.Deregister(ctx, in.Name)
		e.Log.Info("edge: removing the row of a dead entry", zap.String("entry", in.Name), zap.Error(err))
	}
}

// Ready implements [platform.Directory]. It returns false until a manifest
// and a list of replicas are applied, and once the entry has begun to stop.
func (e *Edge) Ready() bool {
	return !e.leaving.Load() && e.applied.Load()
}

// maxAddresses bounds the number of addresses in an answer to a caller's
// lookup.
const maxAddresses = 64

// Addresses implements [platform.Directory]. It returns the addresses of the
// ready entries, those in the caller's data centre first, and the time that
// callers may cache them.
func (e *Edge) Addresses(centre string) ([]string, clock.Millis) {
	var near, far []string
	add := func(in core.Instance) {
		if in.Centre == centre {
			near = append(near, in.Addr)
		} else {
			far = append(far, in.Addr)
		}
	}
	if e.Ready() {
		add(core.Instance{Addr: e.Settings.Callers.Listen, Centre: e.Settings.Centre})
	}
	for _, p := range e.gossip.Live() {
		if p.Heartbeat.Ready && p.Heartbeat.Instance.State == core.Live {
			add(p.Instance)
		}
	}
	all := slices.Concat(near, far)
	return all[:min(len(all), maxAddresses)], e.Settings.Fleet.Keep
}
