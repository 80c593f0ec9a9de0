package relay_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/relay"
	"lacewinghook.example/lacewinghook/slots"
)

// granter grants slots at the replicas in order, those excluded left out, and records the
// asks and the ends. A nil list means that no one grants slots.
type granter struct {
	replicas []string
	err      error

	mu  sync.Mutex
	log []string
	seq uint64
}

// Take implements [relay.Slots].
func (g *granter) Take(_ context.Context, r slots.Request) (slots.Grant, bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log = append(g.log, fmt.Sprint("take without ", r.Exclude, " at once ", r.NoWait))
	for _, name := range g.replicas {
		if !strings.Contains(fmt.Sprint(r.Exclude), name) {
			g.seq++
			return slots.Grant{Replica: name, Seq: g.seq, Usual: 20}, true, nil
		}
	}
	return slots.Grant{}, false, g.err
}

// End implements [relay.Slots].
func (g *granter) End(grant slots.Grant, o slots.Outcome, _ clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log = append(g.log, fmt.Sprint("end ", grant.Seq, " ", grant.Replica, " ", o))
}

// TestSlots checks which slots a call takes and how it reports their ends. It guards against
// slots that stay taken, and against retries that are sent without one.
func TestSlots(t *testing.T) {
	answer := func(status int) relay.Answer {
		a := okAnswer("x")
		a.Status = status
		return a
	}
	late := codes.New(codes.DeadlineUnmet, "late").WithRun(codes.NotRun).WithRetryAfter(700)
	for name, c := range map[string]struct {
		granter *granter
		// answers are those of the replicas, in order.
		answers []any
		retries int
		want    string
		sends   string
		code    codes.Code
		retry   clock.Millis
	}{
		"an answer": {granter: &granter{replicas: []string{"d-1"}}, answers: []any{answer(200)},
			want: "take without [] at once false, end 1 d-1 1", sends: "send d-1"},
		"a refusal": {granter: &granter{replicas: []string{"d-0", "d-1"}}, answers: []any{codes.New(codes.UpstreamRefused, "full"), answer(200)}, retries: 9,
			want:  "take without [] at once false, end 1 d-0 2, take without [d-0] at once false, end 2 d-1 1",
			sends: "send d-0, send d-1"},
		"a failure": {granter: &granter{replicas: []string{"d-0", "d-1"}}, answers: []any{answer(500), answer(200)}, retries: 9,
			want:  "take without [] at once false, end 1 d-0 3, take without [d-0] at once false, end 2 d-1 1",
			sends: "send d-0, send d-1"},
		// A slot isn't asked for if the call may not be sent.
		"a refusal without retries": {granter: &granter{replicas: []string{"d-0", "d-1"}}, answers: []any{codes.New(codes.UpstreamRefused, "full")},
			want: "take without [] at once false, end 1 d-0 2", sends: "send d-0", code: codes.BudgetSpent, retry: 200},
		"a replica that isn't listed here": {granter: &granter{replicas: []string{"d-9", "d-1"}}, answers: []any{answer(200)},
			want: "take without [] at once false, end 1 d-9 0, take without [d-9] at once false, end 2 d-1 1", sends: "send d-1"},
		"no one grants slots": {granter: &granter{}, answers: []any{answer(200)}, want: "take without [] at once false", sends: "send d-0"},
		"a rejection":         {granter: &granter{err: late}, want: "take without [] at once false", code: codes.DeadlineUnmet, retry: 700},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &upstreams{}
			r, table := newRelay(u, &budget{retriesLeft: c.retries})
			g := c.granter
			r.Slots = g
			var ups []core.Upstream
			for _, name := range []string{"d-0", "d-1"} {
				ups = append(ups, core.Upstream{Name: name, Role: core.Service, Service: service})
			}
			table.Apply(&core.Document{Upstreams: ups})
			u.send = func(core.Upstream, relay.SendRequest) (relay.Answer, error) {
				next := c.answers[0]
				c.answers = c.answers[1:]
				if err, ok := next.(error); ok {
					return relay.Answer{}, err
				}
				return next.(relay.Answer), nil
			}
			req := request(r, core.HostRoute{})
			req.Opaque.Route = core.HostRoute{Repeatable: true, Profile: core.Profile{Retries: 1}}
			err := codes.From(r.Run(context.Background(), req, &sink{}))
			is.Equal(strings.Join(g.log, ", "), c.want)
			is.Equal(u.callList(), c.sends)
			if c.code != 0 {
				is.Equal(err.Code, c.code)
				is.Equal(err.Run, codes.NotRun)
				is.Equal(err.RetryAfter, c.retry)
			}
		})
	}
}

// TestHedgeTakesSlot guards against a call that is sent to a second replica without a slot,
// and against one that waits for it.
func TestHedgeTakesSlot(t *testing.T) {
	for name, free := range map[string]bool{"free": true, "none free": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &upstreams{}
			r, table := newRelay(u, &budget{retriesLeft: 9})
			g := &granter{replicas: []string{"d-0"}, err: codes.New(codes.QueueFull, "none")}
			if free {
				g.replicas = append(g.replicas, "d-1")
			}
			r.Slots = g
			table.Apply(&core.Document{Upstreams: []core.Upstream{
				{Name: "d-0", Role: core.Service, Service: service}, {Name: "d-1", Role: core.Service, Service: service}}})
			u.send = func(up core.Upstream, _ relay.SendRequest) (relay.Answer, error) {
				if up.Name == "d-0" {
					_ = r.Clock.Sleep(context.Background(), 600)
				}
				return okAnswer("x"), nil
			}
			req := request(r, core.HostRoute{})
			req.Opaque.Route = core.HostRoute{Repeatable: true, Profile: core.Profile{Retries: 1}}
			req.Profile.FirstToken = 100
			is.NoErr(r.Run(context.Background(), req, &sink{}))
			is.Equal(g.log[1], "take without [d-0] at once true")
			is.Equal(strings.Contains(u.callList(), "send d-1"), free)
			ends := strings.Count(strings.Join(g.log, ", "), "end ")
			is.Equal(ends, int(g.seq)) // each slot has ended once
		})
	}
}
