package relay_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/relay"
)

// finisher permits no request once leaving is set.
type finisher struct{ leaving atomic.Bool }

// CheckFinishes implements [relay.Finisher].
func (f *finisher) CheckFinishes(*core.Request) error {
	if f.leaving.Load() {
		return codes.New(codes.Leaving, "stop")
	}
	return nil
}

// TestStopDuringWaits guards against a request that waits when a stop begins, is sent when
// too little time is left, and is cut.
func TestStopDuringWaits(t *testing.T) {
	for name, c := range map[string]struct {
		// begin lets the stop begin in a call, and forbidden are calls after it.
		begin     func(u *upstreams, f *finisher)
		forbidden string
	}{
		"while memory is reserved": {func(u *upstreams, f *finisher) {
			u.hold = func(core.Upstream) (string, error) { f.leaving.Store(true); return "h", nil }
		}, "prefill"},
		"in prefill": {func(u *upstreams, f *finisher) {
			u.prefill = func(core.Upstream) (core.Export, error) {
				f.leaving.Store(true)
				return core.Export{Params: json.RawMessage("kv")}, nil
			}
		}, "send"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u, f := &upstreams{}, &finisher{}
			r, table := newRelay(u, &budget{retriesLeft: 9})
			r.Finisher = f
			reserveMemory(table, 25)
			c.begin(u, f)
			err := codes.From(r.Run(context.Background(), request(r, core.HostRoute{}), &sink{}))
			is.Equal(err.Code, codes.Leaving)
			is.Equal(err.Run, codes.NotRun)
			is.True(!strings.Contains(u.callList(), c.forbidden))
		})
	}
}

// TestStopAfterSend checks that a stop that begins after a request was sent doesn't keep it
// from another engine.
func TestStopAfterSend(t *testing.T) {
	is := is.New(t)
	u, f := &upstreams{}, &finisher{}
	r, table := newRelay(u, &budget{retriesLeft: 9})
	r.Finisher = f
	reserveMemory(table, 25)
	refused := false
	u.send = func(core.Upstream, relay.SendRequest) (relay.Answer, error) {
		f.leaving.Store(true)
		if !refused {
			refused = true
			return relay.Answer{}, codes.New(codes.UpstreamRefused, "full").WithRun(codes.NotRun)
		}
		return okAnswer("id: 1\ndata: a\n\n"), nil
	}
	is.NoErr(r.Run(context.Background(), request(r, core.HostRoute{}), &sink{}))
}
