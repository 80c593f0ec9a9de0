package relay_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/relay"
)

// slowHolds is an upstream whose answer to a hold arrives delay after the hold was taken.
// It is lost if the caller gives up before that.
type slowHolds struct {
	upstreams
	delay time.Duration
	taken chan struct{} // receives a value when a hold is taken
}

func (u *slowHolds) Hold(ctx context.Context, up core.Upstream, r *core.Request, tokens int, ttl clock.Millis) (string, error) {
	u.taken <- struct{}{}
	select {
	case <-time.After(u.delay):
		return u.upstreams.Hold(ctx, up, r, tokens, ttl)
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// TestCallerLeavesDuringHold guards against a hold that nobody knows of: one that an engine
// grants while the caller leaves. Found by the soak, seeds 3 to 6.
func TestCallerLeavesDuringHold(t *testing.T) {
	is := is.New(t)
	u := &slowHolds{delay: 20 * time.Millisecond, taken: make(chan struct{}, 1)}
	r, table := newRelay(&u.upstreams, &budget{retriesLeft: 9})
	r.Upstreams = u
	reserveMemory(table, 25)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx, request(r, core.HostRoute{}), &sink{}) }()
	<-u.taken
	leave()
	is.True(<-done != nil)
	waitFor(t, func() bool { return strings.Contains(u.callList(), "drop g-") })
	is.True(!strings.Contains(u.callList(), "send"))
}

var _ relay.Upstreams = (*slowHolds)(nil)

// TestHoldOfRequestThatIsNotSent guards against a hold that stays at an engine which was not
// sent the request, or refused it. Found by the soak, seed 21.
func TestHoldOfRequestThatIsNotSent(t *testing.T) {
	is := is.New(t)
	u := &upstreams{}
	r, table := newRelay(u, &budget{retriesLeft: 9})
	reserveMemory(table, 25)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	u.send = func(core.Upstream, relay.SendRequest) (relay.Answer, error) {
		leave()
		return relay.Answer{}, codes.New(codes.UpstreamRefused, "nothing was sent")
	}
	is.True(r.Run(ctx, request(r, core.HostRoute{}), &sink{}) != nil)
	waitFor(t, func() bool { return strings.Contains(u.callList(), "drop g-") })
}
