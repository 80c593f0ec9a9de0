package gossip_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/gossip"
	"lacewinghook.example/lacewinghook/watch"
)

// newest returns the name of the peer that is asked first, empty if none is.
func newest(peers []gossip.Peer, have watch.PeerState, table bool) string {
	ahead := gossip.Ahead(peers, have, table)
	if len(ahead) == 0 {
		return ""
	}
	return ahead[0].Name
}

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
	is.Equal(newest(peers, have, true), "table")
	is.Equal(newest(peers, have, false), "list")
	is.Equal(newest(peers[3:], have, true), "manifest")
	is.Equal(newest(peers[:1], have, true), "")
	is.Equal(newest(nil, have, false), "")
	is.Equal(len(gossip.Ahead(peers, have, false)), 3) // all but the older one
}

// TestNewestOfAnEra guards against a peer that is asked since its revisions are higher, though
// they are of an older era of the store, and against peers of an older build, which report no
// era, that are never asked.
func TestNewestOfAnEra(t *testing.T) {
	is := is.New(t)
	peer := func(name string, s watch.PeerState) gossip.Peer {
		return gossip.Peer{Instance: core.Instance{Name: name}, Heartbeat: gossip.Heartbeat{PeerState: s}}
	}
	older := peer("older", watch.PeerState{Era: 1, Manifest: 3, Fleet: 900, Table: 900})
	same := peer("same", watch.PeerState{Era: 2, Manifest: 3, Fleet: 101, Table: 50})
	newer := peer("newer", watch.PeerState{Era: 3, Manifest: 2, Fleet: 4, Table: 3})
	build := peer("build", watch.PeerState{Manifest: 3, Fleet: 500, Table: 500})
	newest := func(have watch.PeerState, peers ...gossip.Peer) string { return newest(peers, have, true) }
	have := watch.PeerState{Era: 2, Manifest: 3, Fleet: 100, Table: 50}
	is.Equal(newest(have, older), "")
	is.Equal(newest(have, older, same), "same")
	is.Equal(newest(have, older, same, newer), "newer")
	is.Equal(newest(have, older, same, build), "build")
	have.Restored = true
	is.Equal(newest(have, build), "")
	is.Equal(newest(have, build, same), "same")
	have.Manifest = 2 // that of a process which began after the restore
	is.Equal(newest(have, older), "older")
}
