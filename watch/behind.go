package watch

import (
	"context"
	"math"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// errBehind ends a call that waits for a change of the manifest, since peers have a newer one
// already.
var errBehind = errors.New("peers have a newer manifest")

// watchPeers requests newer state from peers for as long as they have it and this entry
// doesn't, unless the update arrives from the store within peerRequestDelay. An entry whose
// calls the store rejects thus still detects in time that a replica leaves.
func (w *Watcher) watchPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.pursues() {
			select {
			case <-ctx.Done():
				return
			case <-w.peerUpdate.C():
			}
		}
		delay := peerRequestDelay
		if w.relayed() {
			delay = relayedRequestDelay
		}
		if w.Clock.Sleep(ctx, delay) != nil {
			return
		}
		w.catchUp(ctx)
	}
}

// catchUp requests newer state until this entry has it. The pause between two requests
// doubles, and ends early if a peer reports newer state again.
func (w *Watcher) catchUp(ctx context.Context) {
	reread, next := rereadPause, clock.Millis(0)
	for pause := peerRetryPause; w.behind() && ctx.Err() == nil; pause = min(2*pause, maxPeerRetryPause) {
		w.requestSnapshot(ctx, false)
		if !w.pursues() {
			return
		}
		if now := w.Clock.Now(); w.behindManifest() && now >= next {
			next, reread = now+reread, min(2*reread, watchTimeout)
			w.readManifestAgain()
		}
		// The loop checks ctx.
		_ = w.Clock.Sleep(ctx, peerRetryPause)
		w.peerUpdate.Wait(ctx, w.Clock, pause-peerRetryPause)
	}
}

// pursues reports whether this entry requests newer state until it has it. If reads aren't
// relayed, it reads a newer list by itself: a read has a newer revision than those of its
// peers, and makes them ask in turn. Otherwise it reads once the list is too old.
func (w *Watcher) pursues() bool { return w.behindManifest() || w.relayed() && w.behindFleet() }

// mustRead reports whether this entry reads the list because a peer has reported a newer one.
func (w *Watcher) mustRead() bool { return !w.relayed() && w.behindFleet() }

// behind reports whether a peer has reported a newer manifest or list of replicas.
func (w *Watcher) behind() bool { return w.behindManifest() || w.behindFleet() }

// behindFleet reports whether a peer has reported a newer list with other replicas.
func (w *Watcher) behindFleet() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peerFleet.Newer(w.fleet.Version())
}

// behindManifest reports whether a peer has reported a newer manifest.
func (w *Watcher) behindManifest() bool {
	return w.newestManifest.Load() > w.manifestVersion.Load()
}

// readManifestAgain has [Watcher.watchManifest] read the manifest instead of waiting for a
// change. The call that waits may never be answered, and the store may have no newer manifest
// if it was restored from an older copy.
func (w *Watcher) readManifestAgain() {
	if end := w.endFeed.Load(); end != nil {
		w.log().Info("watch: reading the manifest again, which peers have in a newer version",
			zap.Int64("version", w.newestManifest.Load()), zap.Int64("have", w.manifestVersion.Load()))
		(*end)(errBehind)
	}
}

// requestSnapshot requests newer state from a peer and installs it. It includes the
// table of entries if entries is set or there is none.
func (w *Watcher) requestSnapshot(ctx context.Context, entries bool) {
	if w.Peers == nil {
		return
	}
	have := w.PeerState()
	w.mu.Lock()
	entries = entries || len(w.entries) == 0
	if !entries && w.peerTable.Era == have.Era {
		// A newer table alone is no reason to ask a peer.
		have.Table = max(have.Table, w.peerTable.Revision)
	}
	w.mu.Unlock()
	if w.behindManifest() {
		// A peer with a newer list may have no newer manifest.
		have.Fleet = math.MaxInt64
	}
	s, ok := w.Peers.Snapshot(ctx, have, entries)
	if !ok {
		return
	}
	w.applyManifest(s.Manifest, "peer")
	w.enterEra(max(s.Fleet.Era, s.Table.Era), "peer")
	w.applyPeerFleet(s.Fleet, s.Age)
	w.mu.Lock()
	s.Table.Era = w.inOwnEra(s.Table.Era)
	newerTable := entries && len(s.Entries) > 0 && (s.Table.Newer(w.table) || len(w.entries) == 0)
	w.mu.Unlock()
	if newerTable {
		w.applyEntries(s.Entries, s.Table)
	}
}

// applyPeerFleet installs a list that a peer has sent if it is newer than the current one.
// age is the time since it was read.
func (w *Watcher) applyPeerFleet(fleet core.Fleet, age clock.Millis) {
	w.install.Lock()
	defer w.install.Unlock()
	w.mu.Lock()
	fleet.Era = w.inOwnEra(fleet.Era)
	newer := fleet.Version().Newer(w.fleet.Version())
	if newer {
		fleet = w.setFleet(fleet, nil, "peer", age)
		w.peerReadAt = max(w.peerReadAt, w.Clock.Now()-age-hopDelay)
	}
	w.mu.Unlock()
	if newer {
		w.OnFleet(fleet)
	}
}
