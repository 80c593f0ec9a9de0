package edge

import (
	"context"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/gossip"
	"lacewinghook.example/lacewinghook/watch"
	"lacewinghook.example/lacewinghook/wire"
)

// Bounds of a request for the state of a peer.
const (
	// minNextDelay is how long a peer may take to answer before the next one is asked too, or
	// nextDelayFactor times the last answer, up to maxNextDelay: a long list takes long on a
	// slow link, and takes longer if it is sent several times.
	minNextDelay    clock.Millis = 200
	maxNextDelay                 = 1 * clock.Second
	nextDelayFactor              = 3
	// maxAskedPeers is the number of peers that are asked, and snapshotTime the time for all.
	maxAskedPeers = 4
	snapshotTime  = 5 * clock.Second
)

// nextPeerDelay returns the time after which the next peer is asked.
func (e *Edge) nextPeerDelay() clock.Millis {
	return min(max(nextDelayFactor*clock.Millis(e.snapshotTook.Load()), minNextDelay), maxNextDelay)
}

// Snapshot implements [watch.Peers]. It asks the peers that [gossip.Ahead] returns, one
// after the other, and returns the first answer.
func (e *Edge) Snapshot(ctx context.Context, have watch.PeerState, entries bool) (watch.Snapshot, bool) {
	ahead := gossip.Ahead(e.gossip.Live(), have, entries)
	ahead = ahead[:min(len(ahead), maxAskedPeers)]
	// It is cancelled and not given a deadline, which would close the connections.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer e.Clock.AfterFunc(snapshotTime, cancel)()
	delay := e.nextPeerDelay()
	answers := make(chan *watch.Snapshot, len(ahead))
	for asked, failed := 0, 0; failed < len(ahead); {
		late := make(chan struct{})
		if asked < len(ahead) {
			peer := ahead[asked]
			asked++
			go func() { answers <- e.askForState(ctx, peer, have, entries) }()
			defer e.Clock.AfterFunc(delay, func() { close(late) })()
		}
		select {
		case s := <-answers:
			if s != nil {
				return *s, true
			}
			failed++
		case <-late:
		case <-ctx.Done():
			return watch.Snapshot{}, false
		}
	}
	return watch.Snapshot{}, false
}

// askForState requests the state of one peer. It returns nil if that fails.
func (e *Edge) askForState(ctx context.Context, peer gossip.Peer, have watch.PeerState, entries bool) *watch.Snapshot {
	began := e.Clock.Now()
	v, err := e.peers.Snapshot(ctx, peer.Peer, wire.SnapshotRequest{Manifest: have.Manifest, Entries: entries})
	took := int64(e.Clock.Now() - began)
	fields := []zap.Field{zap.String("addr", peer.Peer), zap.Int64("took", took), zap.Int64("heard", int64(began-peer.HeartbeatAt))}
	if err != nil {
		e.Log.Warn("edge: reading state from a peer failed", append(fields, zap.Error(err))...)
		return nil
	}
	e.snapshotTook.Store(took)
	manifest := int64(0)
	if v.Manifest != nil {
		manifest = v.Manifest.Version
	}
	e.Log.Info("edge: read state from a peer", append(fields, zap.Int64("fleet", v.Fleet.Revision), zap.Int64("manifest", manifest))...)
	table := core.StoreVersion{Era: v.TableEra, Revision: v.Table}
	return &watch.Snapshot{Manifest: v.Manifest, Fleet: v.Fleet, Age: v.Age, Entries: v.Entries, Table: table}
}
