package flow_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/flow"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/sched"
)

// twoPairs implements the dependencies of a Flow for two pairs of upstreams: p1 with
// d1, and p2 with d2. Calls to the upstream of the first pair with blockedRole block
// until unblock is closed or the call is cancelled.
type twoPairs struct {
	slow        bool
	blockedRole core.Role
	unblock     chan struct{}
	blocked     chan struct{}
	cancels     chan core.Cancel
}

// IsStraggler implements [flow.Stragglers].
func (p *twoPairs) IsStraggler(string) bool { return p.slow }

// Add implements [flow.Canceller].
func (p *twoPairs) Add(c core.Cancel) { p.cancels <- c }

// Place returns the first pair, or the second one if any upstream must be avoided.
func (p *twoPairs) Place(_ context.Context, q sched.Query) (*sched.Placement, error) {
	n := "1"
	if len(q.Failed) > 0 {
		n = "2"
	}
	return &sched.Placement{
		Prefill: core.Upstream{Name: "p" + n}, Decode: core.Upstream{Name: "d" + n},
	}, nil
}

// PrefillDone, FirstToken and Release implement [flow.Placer]. They do nothing.
func (p *twoPairs) PrefillDone(*sched.Placement, clock.Millis, error) {}
func (p *twoPairs) FirstToken(*sched.Placement, clock.Millis)         {}
func (p *twoPairs) Release(_ *sched.Placement, _ error)               {}

// block sends to blocked and waits, if up is the upstream whose calls block.
func (p *twoPairs) block(ctx context.Context, up core.Upstream) error {
	if up.Name != map[core.Role]string{core.Prefill: "p1", core.Decode: "d1"}[p.blockedRole] {
		return nil
	}
	p.blocked <- struct{}{}
	select {
	case <-p.unblock:
		return nil
	case <-ctx.Done():
		return codes.Wrap(codes.CallerGone, ctx.Err(), "%s", up.Name)
	}
}

// Prefill returns an export, after a wait if up is the blocked upstream.
func (p *twoPairs) Prefill(ctx context.Context, up core.Upstream, _ core.Try) (core.Export, error) {
	return core.Export{Upstream: up.Name, Expires: clock.Minute}, p.block(ctx, up)
}

// Decode sends three tokens, after a wait if up is the blocked upstream.
func (p *twoPairs) Decode(ctx context.Context, up core.Upstream, try core.Try, _ core.Export, onTransferred func(), onToken func(core.Token) error) error {
	onTransferred()
	if err := p.block(ctx, up); err != nil {
		return err
	}
	for i := range 3 {
		if err := onToken(core.Token{Attempt: try.Attempt, Offset: i, Text: up.Name + " "}); err != nil {
			return err
		}
	}
	return onToken(core.Token{Offset: 3, Finish: "stop"})
}

// Resume fails, since no test resumes a stream.
func (p *twoPairs) Resume(context.Context, core.Upstream, core.ID, core.Attempt, int, func(core.Token) error) error {
	return codes.New(codes.NotFound, "nothing to resume")
}

// answerText is a sink that collects an answer.
type answerText string

// Token implements [flow.Sink].
func (a *answerText) Token(t core.Token) error {
	*a += answerText(t.Text + t.Finish)
	return nil
}

// TestHedge checks when a request is hedged and that the slower branch is cancelled
// at its upstream.
func TestHedge(t *testing.T) {
	for _, c := range []struct {
		name        string
		hedge       bool
		slow        bool
		blockedRole core.Role
		want        answerText
		hedges      uint64
		cancelled   string
		unblock     bool
	}{
		{"prefill at a straggler", true, true, core.Prefill, "d2 d2 d2 stop", 1, "p1", false},
		{"decode at a straggler", true, true, core.Decode, "d2 d2 d2 stop", 1, "d1", false},
		{"late, but no straggler", true, false, core.Prefill, "d1 d1 d1 stop", 0, "", true},
		{"not allowed by the profile", false, true, core.Prefill, "d1 d1 d1 stop", 0, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &twoPairs{slow: c.slow, blockedRole: c.blockedRole, unblock: make(chan struct{}), blocked: make(chan struct{}, 2), cancels: make(chan core.Cancel, 4)}
			m, manual := &meter.Registry{}, &clock.Manual{}
			f := &flow.Flow{Engines: p, Placer: p, Cancels: p, Stragglers: p, Meter: m, Clock: clock.Clock{Manual: manual}}
			r := &core.Request{Profile: core.Profile{FirstToken: 1000, Hedge: c.hedge}}
			var got answerText
			ended := make(chan error, 1)
			go func() { ended <- f.Run(t.Context(), r, &got) }()
			<-p.blocked
			manual.Advance(500)
			if c.unblock {
				close(p.unblock)
			}
			is.NoErr(<-ended)
			is.Equal(got, c.want)
			is.Equal(m.Value("hedges_total"), c.hedges)
			if c.cancelled != "" {
				is.Equal((<-p.cancels).Upstream.Name, c.cancelled)
			}
			is.Equal(len(p.cancels), 0)
		})
	}
}
