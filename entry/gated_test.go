package entry

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/drain"
	"lacewinghook.example/lacewinghook/member"
	"lacewinghook.example/lacewinghook/pltsim"
	"lacewinghook.example/lacewinghook/store"
)

// TestWorkAfterFreeze guards against work for a drained upstream: the upstream is
// drained while the entry is frozen between selection and call.
func TestWorkAfterFreeze(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer((&pltsim.Platform{}).Handler())
	defer srv.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	now := &clock.Manual{}
	e := &Entry{
		Settings: &config.Settings{Instance: "moose-jaw-1", Platform: config.Platform{Base: srv.URL}},
		Log:      zap.NewNop(), Clock: clock.Clock{Manual: now},
		Sockets: Sockets{Callers: ln, Operators: ln, Peers: ln},
	}
	e.prepare()
	up := core.Upstream{Name: "decode-1"}
	e.document.Update(&core.Document{Version: 1, Upstreams: []core.Upstream{up}})
	ctx := context.Background()
	is.NoErr(e.gate.Check(ctx, up.Name))
	other := &drain.ActiveDrains{Table: &store.Client{Base: srv.URL}}
	is.NoErr(other.Drain(ctx, drain.Drain{Kind: drain.Upstream, Name: up.Name}))
	is.NoErr(e.gate.Check(ctx, up.Name)) // the drain hasn't reached this entry yet
	now.Advance(member.CutOffAfter + 1)
	err = e.gate.Check(ctx, up.Name)
	is.True(codes.Has(err, codes.UpstreamRefused))
	is.Equal(codes.From(err).Run, codes.NotRun)
}
