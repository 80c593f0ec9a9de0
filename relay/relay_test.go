package relay_test

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/relay"
)

// upstreams implements relay.Upstreams with answers set by a test, and records the
// calls it receives.
type upstreams struct {
	prefill func(up core.Upstream) (core.Export, error)
	send    func(up core.Upstream, s relay.SendRequest) (relay.Answer, error)
	hold    func(up core.Upstream) (string, error)

	mu    sync.Mutex
	calls []string
}

// record adds a call to the list.
func (u *upstreams) record(call string, up core.Upstream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.calls = append(u.calls, call+" "+up.Name)
}

// callList returns the calls in order, such as "prefill p-0, send g-1".
func (u *upstreams) callList() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return strings.Join(u.calls, ", ")
}

// Prefill returns the result of prefill, or a successful one if prefill is nil.
func (u *upstreams) Prefill(_ context.Context, up core.Upstream, _ *core.Request) (core.Export, error) {
	u.record("prefill", up)
	if u.prefill != nil {
		return u.prefill(up)
	}
	return core.Export{Params: json.RawMessage("kv")}, nil
}

// Send returns the result of send, or a stream of one event if send is nil.
func (u *upstreams) Send(_ context.Context, up core.Upstream, s relay.SendRequest) (relay.Answer, error) {
	u.record("send", up)
	if u.send != nil {
		return u.send(up, s)
	}
	return okAnswer("id: 1\ndata: a\n\n"), nil
}

// Hold returns the result of hold, or a successful one if hold is nil.
func (u *upstreams) Hold(_ context.Context, up core.Upstream, _ *core.Request, _ int, _ clock.Millis) (string, error) {
	u.record("hold", up)
	if u.hold != nil {
		return u.hold(up)
	}
	return "hold", nil
}

func (u *upstreams) Drop(_ context.Context, up core.Upstream, _ string) error {
	u.record("drop", up)
	return nil
}

func (u *upstreams) Free(_ context.Context, up core.Upstream, _ core.Export) error {
	u.record("free", up)
	return nil
}

// okAnswer returns a successful answer with the given body.
func okAnswer(body string) relay.Answer {
	return relay.Answer{Reply: core.Reply{Status: 200, Length: -1}, Body: io.NopCloser(strings.NewReader(body))}
}

// budget implements relay.Budget with a fixed number of retries.
type budget struct {
	mu          sync.Mutex
	retriesLeft int
	firstSends  int
}

func (b *budget) CountFirst(string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firstSends++
}

func (b *budget) TakeRetries(_ string, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retriesLeft < n {
		return false
	}
	b.retriesLeft -= n
	return true
}

func (b *budget) ReturnRetries(_ string, _ clock.Millis, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retriesLeft += n
}

// sink implements relay.Sink and records the answer.
type sink struct {
	head *core.Reply
	body strings.Builder
}

func (s *sink) Reply(r core.Reply) error { s.head = &r; return nil }

func (s *sink) Write(p []byte) error {
	_, err := s.body.Write(p)
	return err
}

const service = "verse"

// newRelay returns a relay with two prefill and two decode engines.
func newRelay(u *upstreams, b *budget) (*relay.Relay, *pool.Table) {
	return newRelayOf(u, b, "g-0", "g-1")
}

// newRelayOf returns a relay with two prefill engines and the decode engines of the
// given names.
func newRelayOf(u *upstreams, b *budget, decode ...string) (*relay.Relay, *pool.Table) {
	doc := &core.Document{}
	for _, name := range []string{"p-0", "p-1"} {
		doc.Upstreams = append(doc.Upstreams, core.Upstream{Name: name, Role: core.Prefill, Models: []string{service}})
	}
	for _, name := range decode {
		doc.Upstreams = append(doc.Upstreams, core.Upstream{Name: name, Role: core.Decode, Models: []string{service}, Pieces: 38})
	}
	t := &pool.Table{}
	t.Apply(doc)
	specs := func(string) (core.ServiceSpec, bool) {
		return core.ServiceSpec{Name: service, Engines: &core.Engines{EventTokens: 16, ExportTTL: 500, MaxHold: 2000}}, true
	}
	return &relay.Relay{Upstreams: u, Pool: t, Budget: b, Specs: specs}, t
}

// request returns a request for a completion that arrives now.
func request(r *relay.Relay, route core.HostRoute) *core.Request {
	now := r.Clock.Now()
	route.Stream, route.Generates = true, true
	if route.Profile.FirstToken == 0 {
		route.Profile.FirstToken = 900
	}
	return &core.Request{
		Arrived: now, Deadline: now + 5000, MaxTokens: 2720, Profile: route.Profile,
		Opaque: &core.Opaque{ID: "id", PromptTokens: 3000, Service: service, Route: route},
	}
}

// reserveMemory counts pieces as reserved at both decode engines, so that requests
// need a hold.
func reserveMemory(t *pool.Table, pieces int) {
	for _, name := range []string{"g-0", "g-1"} {
		t.Begin(name, pool.Work{Pieces: pieces, Requests: pieces / 4})
	}
}

// TestDrainingDecodeEngineGetsNoRequest guards against sending a request to a
// decode engine that started draining during the prefill. Without a second check
// before the send, the rule on draining replicas was violated on one of some
// hundred days.
func TestDrainingDecodeEngineGetsNoRequest(t *testing.T) {
	is := is.New(t)
	u := &upstreams{}
	r, table := newRelay(u, &budget{retriesLeft: 9})
	reserveMemory(table, 10)
	u.prefill = func(core.Upstream) (core.Export, error) {
		table.Drain("g-0", true)
		return core.Export{Params: json.RawMessage("kv")}, nil
	}
	for range 8 {
		table.Drain("g-0", false)
		s := &sink{}
		is.NoErr(r.Run(context.Background(), request(r, core.HostRoute{}), s))
	}
	is.True(!strings.Contains(u.callList(), "send g-0"))
}

// TestGenerate checks the calls to the engines and the outcome of one completion.
func TestGenerate(t *testing.T) {
	refused := codes.New(codes.UpstreamRefused, "full")
	lost := codes.New(codes.UpstreamLost, "reset")
	cases := map[string]struct {
		prepare func(u *upstreams, t *pool.Table)
		route   core.HostRoute
		retries int
		// code is the expected error code, zero for success.
		code codes.Code
		run  codes.Run
		// want lists calls that must occur, never those that must not.
		want, never []string
		body        string
	}{
		"memory is held before the prefill when little is free": {
			prepare: func(_ *upstreams, t *pool.Table) { reserveMemory(t, 25) }, retries: 9,
			want: []string{"hold g-", "prefill p-", "send g-"}, never: []string{"drop"},
		},
		"a refused hold is retried at another engine before the prefill": {
			prepare: func(u *upstreams, t *pool.Table) {
				reserveMemory(t, 25)
				n := 0
				u.hold = func(core.Upstream) (string, error) {
					if n++; n < 3 {
						return "", codes.New(codes.NoMemory, "none")
					}
					return "hold", nil
				}
			},
			retries: 9, want: []string{"hold g-", "prefill p-", "send g-"},
		},
		"no memory anywhere": {
			prepare: func(_ *upstreams, t *pool.Table) { reserveMemory(t, 38) },
			route:   core.HostRoute{Profile: core.Profile{FirstToken: 400}},
			code:    codes.DeadlineUnmet, run: codes.NotRun, never: []string{"prefill", "send"},
		},
		"a handle refused by one engine is sent to another": {
			prepare: func(u *upstreams, t *pool.Table) {
				reserveMemory(t, 10)
				n := 0
				u.send = func(core.Upstream, relay.SendRequest) (relay.Answer, error) {
					if n++; n == 1 {
						return relay.Answer{}, refused
					}
					return okAnswer("x"), nil
				}
			},
			retries: 9, want: []string{"send g-0", "send g-1"}, never: []string{"free"}, body: "x",
		},
		"a spent retry budget frees the handle": {
			prepare: func(u *upstreams, t *pool.Table) {
				reserveMemory(t, 10)
				u.send = func(core.Upstream, relay.SendRequest) (relay.Answer, error) { return relay.Answer{}, refused }
			},
			code: codes.BudgetSpent, run: codes.NotRun, want: []string{"free p-"},
		},
		"a lost stream that may not be repeated": {
			prepare: func(u *upstreams, _ *pool.Table) {
				u.send = func(core.Upstream, relay.SendRequest) (relay.Answer, error) { return relay.Answer{}, lost }
			},
			retries: 9, code: codes.UpstreamLost, run: codes.Unknown,
		},
		"a lost prefill is retried at another engine": {
			prepare: func(u *upstreams, t *pool.Table) {
				reserveMemory(t, 10)
				n := 0
				u.prefill = func(core.Upstream) (core.Export, error) {
					if n++; n == 1 {
						return core.Export{}, lost
					}
					return core.Export{Params: json.RawMessage("kv")}, nil
				}
			},
			retries: 9, want: []string{"send g-"},
		},
		"a truncated event of a resumable stream": {
			prepare: func(u *upstreams, _ *pool.Table) {
				u.send = func(_ core.Upstream, s relay.SendRequest) (relay.Answer, error) {
					if s.LastEventID == "" {
						return okAnswer("id: 7\ndata: a\n\nid: 8\nda"), nil
					}
					if s.LastEventID != "7" {
						return relay.Answer{}, codes.New(codes.Internal, "after %q", s.LastEventID)
					}
					return okAnswer("id: 8\ndata: b\n\n"), nil
				}
			},
			route: core.HostRoute{Resumable: true, Profile: core.Profile{Retries: 1}}, retries: 9,
			body: "id: 7\ndata: a\n\nid: 8\ndata: b\n\n",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &upstreams{}
			r, table := newRelay(u, &budget{retriesLeft: c.retries})
			if c.prepare != nil {
				c.prepare(u, table)
			}
			s := &sink{}
			err := r.Run(context.Background(), request(r, c.route), s)
			if c.code == 0 {
				is.NoErr(err)
			} else {
				is.Equal(codes.From(err).Code, c.code)
				is.Equal(codes.From(err).Run, c.run)
			}
			if c.body != "" {
				is.Equal(s.body.String(), c.body)
			}
			for _, call := range c.want {
				waitFor(t, func() bool { return strings.Contains(u.callList(), call) })
			}
			for _, call := range c.never {
				is.True(!strings.Contains(u.callList(), call))
			}
			// No work remains counted at any engine.
			for _, l := range table.Loads() {
				is.Equal(l.Work.Tokens, 0)
			}
		})
	}
}

// waitFor waits until f returns true, and fails the test after 5 s.
func waitFor(t *testing.T, f func() bool) {
	t.Helper()
	c := clock.Clock{}
	for end := c.Now() + 5000; !f(); {
		if c.Now() > end {
			t.Fatal("the condition did not become true within 5 s")
		}
		_ = c.Sleep(context.Background(), 2)
	}
}
