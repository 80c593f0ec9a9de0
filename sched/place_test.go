package sched_test

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/grant"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
	"lacewinghook.example/lacewinghook/sched"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const now clock.Millis = 1000

// placer returns a scheduler for one prefill upstream and two decode upstreams of
// 4 pieces each.
func placer() (*sched.Scheduler, *pool.Table, *clock.Manual) {
	m := &clock.Manual{}
	m.Advance(now)
	c := clock.Clock{Manual: m}
	tab := &pool.Table{Clock: c}
	tab.Apply(&core.Document{Upstreams: []core.Upstream{
		{Name: "p1", Role: core.Prefill, Models: []string{"verse"}},
		{Name: "d1", Role: core.Decode, Models: []string{"verse"}, Pieces: 4},
		{Name: "d2", Role: core.Decode, Models: []string{"verse"}, Pieces: 4},
	}})
	return &sched.Scheduler{Upstreams: tab, Chooser: route.Cost{}, Memory: &grant.Local{Counts: tab}, Clock: c}, tab, m
}

// request returns a request that needs the given number of pieces and whose first
// token is due in one second.
func request(pieces int) *core.Request {
	return &core.Request{
		Model: "verse", Prompt: strings.Repeat("x", 400), MaxTokens: pieces*core.PieceTokens - 100,
		Workspace: "w", Arrived: now, Profile: core.Profile{FirstToken: clock.Second},
	}
}

func query(r *core.Request) sched.Query {
	return sched.Query{Try: core.Try{Request: r, Attempt: 1}}
}

// idle reports whether this entry has no work counted at any upstream.
func idle(tab *pool.Table) bool {
	for _, name := range tab.Names() {
		if s, _ := tab.Get(name); s.Own != (pool.Work{}) {
			return false
		}
	}
	return true
}

func TestPromise(t *testing.T) {
	t.Run("not_run_is_true", func(t *testing.T) {
		for name, tc := range map[string]struct {
			edit func(r *core.Request, tab *pool.Table, m *clock.Manual)
			code codes.Code
		}{
			"no upstream":    {func(r *core.Request, _ *pool.Table, _ *clock.Manual) { r.Model = "prose" }, codes.NoUpstream},
			"all draining":   {func(_ *core.Request, tab *pool.Table, _ *clock.Manual) { tab.Drain("p1", true) }, codes.NoUpstream},
			"too long":       {func(r *core.Request, _ *pool.Table, _ *clock.Manual) { r.MaxTokens = 5 * core.PieceTokens }, codes.TooLong},
			"deadline past":  {func(r *core.Request, _ *pool.Table, m *clock.Manual) { r.Deadline = now + 5; m.Advance(5) }, codes.DeadlinePast},
			"target too far": {func(_ *core.Request, _ *pool.Table, m *clock.Manual) { m.Advance(2 * clock.Second) }, codes.DeadlineUnmet},
		} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				d, tab, m := placer()
				r := request(1)
				tc.edit(r, tab, m)
				_, err := d.Place(t.Context(), query(r))
				is.True(codes.Has(err, tc.code))
				is.Equal(codes.From(err).Run, codes.NotRun)
				is.True(idle(tab))
				// A later attempt can't report NotRun: an earlier one may have run.
				q := query(r)
				q.Try.Attempt = 2
				if _, err := d.Place(t.Context(), q); err != nil {
					is.Equal(codes.From(err).Run, codes.Unknown)
				}
			})
		}
		t.Run("no memory in time", func(t *testing.T) {
			is := is.New(t)
			d, tab, m := placer()
			full := fill(t, d)
			got := make(chan error)
			go func() {
				_, err := d.Place(t.Context(), query(request(4)))
				got <- err
			}()
			waitFor(d, 1)
			m.Advance(2 * clock.Second)
			err := <-got
			is.True(codes.Has(err, codes.DeadlineUnmet))
			is.Equal(codes.From(err).Run, codes.NotRun)
			for _, p := range full {
				d.Release(p, nil)
			}
			is.True(idle(tab))
		})
	})
}

// fill reserves all decode memory.
func fill(t *testing.T, d *sched.Scheduler) (all []*sched.Placement) {
	for range 2 {
		p, err := d.Place(t.Context(), query(request(4)))
		is.New(t).NoErr(err)
		d.PrefillDone(p, 1, nil)
		d.FirstToken(p, 1)
		all = append(all, p)
	}
	return all
}

// waitFor returns once n requests are queued, or after 10 s.
func waitFor(d *sched.Scheduler, n int) {
	ctx, done := context.WithTimeout(context.Background(), (10 * clock.Second).Duration())
	defer done()
	for d.Waiting() != n && (clock.Clock{}).Sleep(ctx, 1) == nil {
	}
}

func TestReleaseWakesTheQueue(t *testing.T) {
	is := is.New(t)
	d, tab, _ := placer()
	full := fill(t, d)
	var wait sync.WaitGroup
	var second *sched.Placement
	wait.Go(func() { second, _ = d.Place(t.Context(), query(request(4))) })
	waitFor(d, 1)
	s, _ := tab.Get("p1")
	is.Equal(s.Own.Requests, 0) // the prefill has not started
	d.Release(full[0], nil)
	wait.Wait()
	is.Equal(second.Decode.Name, full[0].Decode.Name)
	d.Release(second, nil)
	d.Release(second, nil) // a second release has no effect
	d.Release(full[1], nil)
	is.True(idle(tab))
}

func TestExportGoesToAnotherDecode(t *testing.T) {
	is := is.New(t)
	d, tab, _ := placer()
	q := query(request(1))
	q.Try.Attempt = 2
	q.Failed = []string{"d1"}
	q.Export = &core.Export{Upstream: "p1", Expires: now + 500}
	for range 4 {
		p, err := d.Place(t.Context(), q)
		is.NoErr(err)
		is.Equal(p.Decode.Name, "d2")
		is.Equal(p.Prefill.Name, "")
		d.Release(p, nil)
	}
	// If both have failed, the one that failed last is avoided.
	q.Failed = []string{"d2", "d1"}
	p, err := d.Place(t.Context(), q)
	is.NoErr(err)
	is.Equal(p.Decode.Name, "d2")
	d.Release(p, nil)
	is.True(idle(tab))
}
