package relay_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/relay"
)

// finisher permits no request once leaving is set.
type finisher struct{ leaving atomic.Bool }

// finisherRetryAfter is shorter than what the relay chooses for other rejections.
const finisherRetryAfter clock.Millis = 50

// CheckFinishes implements [relay.Finisher].
func (f *finisher) CheckFinishes(*core.Request) error {
	if f.leaving.Load() {
		return codes.New(codes.Leaving, "stop").WithRetryAfter(finisherRetryAfter)
	}
	return nil
}

// TestStopDuringWaits guards against a request that waits when a stop begins, is sent when
// too little time is left, and is cut.
func TestStopDuringWaits(t *testing.T) {
	for name, c := range map[string]struct {
		// begin lets the stop begin in a call. There may be at most most calls of the kind.
		begin func(u *upstreams, f *finisher)
		kind  string
		most  int
	}{
		"while memory is reserved": {func(u *upstreams, f *finisher) {
			u.hold = func(core.Upstream) (string, error) { f.leaving.Store(true); return "h", nil }
		}, "prefill", 0},
		"in prefill": {func(u *upstreams, f *finisher) {
			u.prefill = func(core.Upstream) (core.Export, error) {
				f.leaving.Store(true)
				return core.Export{Params: json.RawMessage("kv")}, nil
			}
		}, "send", 0},
		"in a prefill that fails": {func(u *upstreams, f *finisher) {
			u.prefill = func(core.Upstream) (core.Export, error) {
				f.leaving.Store(true)
				return core.Export{}, codes.New(codes.UpstreamLost, "silent")
			}
		}, "send", 0},
		"in a send that isn't run": {func(u *upstreams, f *finisher) {
			u.send = func(core.Upstream, relay.SendRequest) (relay.Answer, error) {
				f.leaving.Store(true)
				return relay.Answer{}, codes.New(codes.UpstreamRefused, "full")
			}
		}, "send", 1},
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
			is.Equal(err.RetryAfter, finisherRetryAfter)
			is.True(strings.Count(u.callList(), c.kind) <= c.most)
		})
	}
}

// TestStopAfterSend checks that a stop that begins after a request may have run doesn't keep
// it from another engine.
func TestStopAfterSend(t *testing.T) {
	is := is.New(t)
	u, f := &upstreams{}, &finisher{}
	r, table := newRelay(u, &budget{retriesLeft: 9})
	r.Finisher = f
	reserveMemory(table, 25)
	lost := false
	u.send = func(core.Upstream, relay.SendRequest) (relay.Answer, error) {
		f.leaving.Store(true)
		if !lost {
			lost = true
			return relay.Answer{}, codes.New(codes.UpstreamLost, "no answer")
		}
		return okAnswer("id: 1\ndata: a\n\n"), nil
	}
	route := core.HostRoute{Repeatable: true, Profile: core.Profile{Retries: 2}}
	is.NoErr(r.Run(context.Background(), request(r, route), &sink{}))
}

// TestStopDuringSilence checks that a stop that begins while the engine that may run a request
// is silent doesn't keep the request from another engine.
func TestStopDuringSilence(t *testing.T) {
	inBubble(func(t *testing.T) {
		is := is.New(t)
		u, f := &ctxUpstreams{}, &finisher{}
		r, table := ctxRelay(u, &budget{retriesLeft: 9})
		r.Finisher = f
		r.MaxSilence = 300
		reserveMemory(table, 10)
		u.sendCtx = func(ctx context.Context, _ core.Upstream, _ relay.SendRequest) (relay.Answer, error) {
			if !f.leaving.Swap(true) {
				<-ctx.Done()
				return relay.Answer{}, ctx.Err()
			}
			return okAnswer(events(1, 2, "\n")), nil
		}
		s := &sink{}
		is.NoErr(r.Run(context.Background(), request(r, resumable), s))
		is.Equal(s.body.String(), events(1, 2, "\n"))
	})(t)
}
