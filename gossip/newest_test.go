package gossip_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/gossip"
	"lacewinghook.example/lacewinghook/watch"
)

// TestNewestTableIsAskedFor guards against a request for a newer table of entries that goes
// to a peer which has only a newer list of replicas, so that the store must be read.
func TestNewestTableIsAskedFor(t *testing.T) {
	is := is.New(t)
	peer := func(name string, s watch.PeerState) gossip.Peer {
		return gossip.Peer{Instance: core.Instance{Name: name}, Heartbeat: gossip.Heartbeat{PeerState: s}}
	}
	have := watch.PeerState{Manifest: 3, Fleet: 100, Table: 50}
	peers := []gossip.Peer{
		peer("older", watch.PeerState{Manifest: 1, Fleet: 90, Table: 50}),
		peer("list", watch.PeerState{Manifest: 3, Fleet: 900, Table: 50}),
		peer("table", watch.PeerState{Manifest: 3, Fleet: 100, Table: 51}),
		peer("manifest", watch.PeerState{Manifest: 4, Fleet: 100, Table: 10}),
	}
	got, ok := gossip.Newest(peers, have, true)
	is.True(ok)
	is.Equal(got.Name, "table")
	got, ok = gossip.Newest(peers, have, false)
	is.True(ok)
	is.Equal(got.Name, "list")
	got, ok = gossip.Newest(peers[3:], have, true)
	is.True(ok)
	is.Equal(got.Name, "manifest")
	_, ok = gossip.Newest(peers[:1], have, true)
	is.True(!ok)
	_, ok = gossip.Newest(nil, have, false)
	is.True(!ok)
}
