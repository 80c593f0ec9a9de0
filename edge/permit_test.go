package edge

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/gossip"
)

// TestEndedRequestWaitsForNoPermit guards against a request that holds its caller after its
// end, while the owner of the trials doesn't answer, and an owner that is then taken for
// silent.
func TestEndedRequestWaitsForNoPermit(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	e := &Edge{Log: zap.NewNop(), Settings: &config.Settings{Instance: "self", Peers: config.Listener{Listen: "127.0.0.1:1"}, Fleet: &config.Fleet{}}}
	defer e.peers.Close()
	e.requests.init(e, &e.tainted.Table, nil)
	for i := 0; e.trialOwner().Peer != ln.Addr().String(); i++ {
		e.gossip = gossip.Table{Self: "127.0.0.1:1"}
		e.gossip.HandleHeartbeat(gossip.Heartbeat{Instance: core.Instance{Name: fmt.Sprint("peer-", i), Peer: ln.Addr().String()}, Boot: 1, Seq: 1})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!e.requests.requestPermit(ctx, []uint64{1}).Granted)
	is.Equal(e.trialOwner().Peer, ln.Addr().String()) // it isn't passed over
}
