package relay_test

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/relay"
)

// heldHolds is an upstream that grants holds once grant is closed.
type heldHolds struct {
	upstreams
	taken chan struct{} // receives a value when a hold is requested
	grant chan struct{}
}

func (u *heldHolds) Hold(ctx context.Context, up core.Upstream, r *core.Request, tokens int, ttl clock.Millis) (string, error) {
	u.taken <- struct{}{}
	select {
	case <-u.grant:
		return u.upstreams.Hold(ctx, up, r, tokens, ttl)
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// TestStopDuringHold guards against a stop whose requests get no response in time, because
// they wait for a hold that a silent engine has not granted yet. The hold is released.
func TestStopDuringHold(t *testing.T) {
	is := is.New(t)
	u := &heldHolds{taken: make(chan struct{}, 1), grant: make(chan struct{})}
	r, table := newRelay(&u.upstreams, &budget{retriesLeft: 9})
	r.Upstreams = u
	reserveMemory(table, 25)
	ctx, end := context.WithCancelCause(context.Background())
	defer end(nil)
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx, request(r, core.HostRoute{}), &sink{}) }()
	<-u.taken
	end(codes.New(codes.Leaving, "the entry stops"))
	err := codes.From(<-done) // before the engine answers
	is.Equal(err.Code, codes.Leaving)
	is.Equal(err.Run, codes.NotRun)
	close(u.grant)
	waitFor(t, func() bool { return strings.Contains(u.callList(), "drop g-") })
}

// TestUnsentRequestIsNotRun guards against a completion that was sent to no engine, because
// it was ended just before, and whose caller is told that it may have run.
func TestUnsentRequestIsNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		cause error
		code  codes.Code
	}{
		"stop":        {codes.New(codes.Leaving, "the entry stops"), codes.Leaving},
		"caller left": {nil, codes.CallerGone},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &upstreams{}
			r, _ := newRelay(u, &budget{retriesLeft: 9})
			ctx, end := context.WithCancelCause(context.Background())
			defer end(nil)
			u.send = func(core.Upstream, relay.SendRequest) (relay.Answer, error) {
				end(c.cause)
				return relay.Answer{}, codes.New(codes.UpstreamRefused, "nothing was sent")
			}
			err := codes.From(r.Run(ctx, request(r, core.HostRoute{}), &sink{}))
			is.Equal(err.Code, c.code)
			is.Equal(err.Run, codes.NotRun)
		})
	}
}

var _ relay.Upstreams = (*heldHolds)(nil)
