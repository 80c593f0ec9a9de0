package relay_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lacewinghook.example/lacewinghook/alloc"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/relay"
)

// placer implements relay.Placer and rejects each request with err.
type placer struct {
	err  error
	seen alloc.Request
}

func (p *placer) Place(_ context.Context, r alloc.Request, _ func(alloc.Choice)) error {
	p.seen = r
	return p.err
}
func (p *placer) Observe(alloc.Observation) {}
func (p *placer) Wake()                     {}

var _ relay.Placer = (*placer)(nil)

// TestPlacementHasPriority guards against requests that wait for engines without their
// workspace and priority, and against refusals that an operator can't attribute to them.
func TestPlacementHasPriority(t *testing.T) {
	is := is.New(t)
	r, _ := newRelay(&upstreams{}, &budget{})
	p := &placer{err: codes.New(codes.DeadlineUnmet, "late")}
	r.Placer = p
	logCore, logs := observer.New(zap.InfoLevel)
	r.Log = zap.New(logCore)
	req := request(r, core.HostRoute{})
	req.Workspace, req.Profile.Priority = "ws-a", 2
	is.True(r.Run(context.Background(), req, &sink{}) != nil)
	is.Equal(p.seen.Workspace, "ws-a")
	is.Equal(p.seen.Priority, 2)
	lines := logs.FilterMessage("relay: request not admitted").All()
	is.Equal(len(lines), 1)
	is.Equal(lines[0].ContextMap()["workspace"], "ws-a")
	is.Equal(lines[0].ContextMap()["priority"], int64(2))
}

// TestPredictedReturn guards against callers that return before the capacity that was
// predicted is free or the peak has ended, and against times that callers don't wait for, at
// whose end they all return.
func TestPredictedReturn(t *testing.T) {
	is := is.New(t)
	r, _ := newRelay(&upstreams{}, &budget{})
	run := func(predicted clock.Millis) clock.Millis {
		r.Placer = &placer{err: codes.New(codes.DeadlineUnmet, "late").WithRetryAfter(predicted)}
		return codes.From(r.Run(context.Background(), request(r, core.HostRoute{}), &sink{})).RetryAfter
	}
	times := make(map[clock.Millis]bool)
	// A third of the 5,000 ms that are left is waited for, which may be less than the peak.
	for _, predicted := range []clock.Millis{0, 700, 9000} {
		for range 40 {
			d := run(predicted)
			is.True(d >= 800 && d <= 1667)
			times[d] = true
		}
	}
	is.True(len(times) > 60)
}
