package edge_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/extsim"
	"lacewinghook.example/lacewinghook/gossip"
	"lacewinghook.example/lacewinghook/watch"
	"lacewinghook.example/lacewinghook/wire"
)

// TestSilentPeerHoldsUpNewerState guards against a manifest that stays in force since the
// peer that reported the newer one first has stopped answering: requests to it took 5 s, and
// other peers that have it weren't asked.
func TestSilentPeerHoldsUpNewerState(t *testing.T) {
	for _, silent := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(silent, " silent peers"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			r := s.startReady()
			var c wire.Client
			defer c.Close()
			v, err := c.Snapshot(t.Context(), r.settings.Peers.Listen, wire.SnapshotRequest{})
			is.NoErr(err)
			added := v.Manifest.Routes[1]
			added.Name, added.Prefix = "new", "/new/"
			v.Manifest.Version, v.Manifest.Routes = 9, append(v.Manifest.Routes, added)
			is.Equal(r.status("/new/a"), http.StatusNotFound)
			s.store.SetMode(extsim.NoResponse)
			report := func(name string, ln net.Listener, revision int64) {
				h := gossip.Heartbeat{Instance: core.Instance{Name: name, Peer: ln.Addr().String(), State: core.Live}, Boot: 1, Seq: 1}
				h.PeerState = watch.PeerState{Manifest: 9, Fleet: revision, Members: 1}
				is.NoErr(c.SendHeartbeat(t.Context(), r.settings.Peers.Listen, h))
			}
			listen := func() net.Listener {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				t.Cleanup(func() { _ = ln.Close() })
				return ln
			}
			for i := range silent {
				report(fmt.Sprint("a-", i), listen(), 1<<40) // accepts connections and answers nothing
			}
			ln := listen()
			server := wire.Server{Methods: map[wire.Method]wire.MethodHandler{
				wire.MethodSnapshot: wire.TypedHandler(func(context.Context, wire.SnapshotRequest) (wire.Snapshot, error) { return v, nil }),
				wire.MethodHello:    wire.OnHeartbeat(func(gossip.Heartbeat) {}),
			}}
			go func() { _ = server.Serve(t.Context(), ln) }() // ends with the listener
			report("z", ln, 1)
			at := time.Now()
			s.until("the manifest is in force", func() bool {
				return r.status("/new/a") == http.StatusOK
			})
			is.True(time.Since(at) <= 3*time.Second) // config_apply_ms of the deployments
		})
	}
}
