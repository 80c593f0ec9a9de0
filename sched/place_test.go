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

// newScheduler returns a scheduler for one prefill upstream and two decode upstreams of
// 4 pieces each.
func newScheduler() (*sched.Scheduler, *pool.Table, *clock.Manual) {
	m := &clock.Manual{}
	m.Advance(now)
	c := clock.Clock{Manual: m}
	table := &pool.Table{Clock: c}
	table.Apply(&core.Document{Upstreams: []core.Upstream{
		{Name: "p1", Role: core.Prefill, Models: []string{"verse"}},
		{Name: "d1", Role: core.Decode, Models: []string{"verse"}, Pieces: 4},
		{Name: "d2", Role: core.Decode, Models: []string{"verse"}, Pieces: 4},
	}})
	return &sched.Scheduler{Upstreams: table, Chooser: route.Cost{}, Memory: &grant.Local{Counts: table}, Clock: c}, table, m
}

// request returns a request that needs the given number of pieces and whose first
// token is due in one second.
func request(pieces int) *core.Request {
	return &core.Request{
		Model: "verse", Prompt: strings.Repeat("x", 400), MaxTokens: pieces*core.PieceTokens - 100,
		Workspace: "w", Arrived: now, Profile: core.Profile{FirstToken: clock.Second},
	}
}

// query returns the first attempt of a request.
func query(r *core.Request) sched.Query {
	return sched.Query{Try: core.Try{Request: r, Attempt: 1}}
}

// idle reports whether this entry has no work counted at any upstream.
func idle(table *pool.Table) bool {
	for _, name := range table.Names() {
		if s, _ := table.Get(name); s.Own != (pool.Work{}) {
			return false
		}
	}
	return true
}

// TestPromise checks that an error with Run NotRun leaves no work counted.
func TestPromise(t *testing.T) {
	t.Run("not_run_is_true", func(t *testing.T) {
		for name, tc := range map[string]struct {
			edit func(r *core.Request, table *pool.Table, m *clock.Manual)
			code codes.Code
		}{
			"no upstream":        {func(r *core.Request, _ *pool.Table, _ *clock.Manual) { r.Model = "prose" }, codes.NoUpstream},
			"all draining":       {func(_ *core.Request, table *pool.Table, _ *clock.Manual) { table.Drain("p1", true) }, codes.NoUpstream},
			"too long":           {func(r *core.Request, _ *pool.Table, _ *clock.Manual) { r.MaxTokens = 5 * core.PieceTokens }, codes.TooLong},
			"deadline past":      {func(r *core.Request, _ *pool.Table, m *clock.Manual) { r.Deadline = now + 5; m.Advance(5) }, codes.DeadlinePast},
			"target unreachable": {func(_ *core.Request, _ *pool.Table, m *clock.Manual) { m.Advance(2 * clock.Second) }, codes.DeadlineUnmet},
		} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				s, table, m := newScheduler()
				r := request(1)
				tc.edit(r, table, m)
				_, err := s.Place(t.Context(), query(r))
				is.True(codes.Has(err, tc.code))
				is.Equal(codes.From(err).Run, codes.NotRun)
				is.True(idle(table))
				// A later attempt can't report NotRun: an earlier one may have run.
				q := query(r)
				q.Try.Attempt = 2
				if _, err := s.Place(t.Context(), q); err != nil {
					is.Equal(codes.From(err).Run, codes.Unknown)
				}
			})
		}
		t.Run("no memory in time", func(t *testing.T) {
			is := is.New(t)
			s, table, m := newScheduler()
			full := fill(t, s)
			got := make(chan error)
			go func() {
				_, err := s.Place(t.Context(), query(request(4)))
				got <- err
			}()
			waitFor(s, 1)
			m.Advance(2 * clock.Second)
			err := <-got
			is.True(codes.Has(err, codes.DeadlineUnmet))
			is.Equal(codes.From(err).Run, codes.NotRun)
			for _, p := range full {
				s.Release(p, nil)
			}
			is.True(idle(table))
		})
	})
}

// fill reserves all decode memory and returns the placements.
func fill(t *testing.T, s *sched.Scheduler) (all []*sched.Placement) {
	for range 2 {
		p, err := s.Place(t.Context(), query(request(4)))
		is.New(t).NoErr(err)
		s.PrefillDone(p, 1, nil)
		s.FirstToken(p, 1)
		all = append(all, p)
	}
	return all
}

// waitFor returns once n requests are queued, or after 10 s.
func waitFor(s *sched.Scheduler, n int) {
	ctx, done := context.WithTimeout(context.Background(), (10 * clock.Second).Duration())
	defer done()
	for s.Waiting() != n && (clock.Clock{}).Sleep(ctx, 1) == nil {
	}
}

// TestReleaseWakesTheQueue checks that a queued request is placed where another one
// has released its memory, and that its prefill doesn't start earlier.
func TestReleaseWakesTheQueue(t *testing.T) {
	is := is.New(t)
	s, table, _ := newScheduler()
	full := fill(t, s)
	var wait sync.WaitGroup
	var second *sched.Placement
	wait.Go(func() { second, _ = s.Place(t.Context(), query(request(4))) })
	waitFor(s, 1)
	state, _ := table.Get("p1")
	is.Equal(state.Own.Requests, 0) // the prefill has not started
	s.Release(full[0], nil)
	wait.Wait()
	is.Equal(second.Decode.Name, full[0].Decode.Name)
	s.Release(second, nil)
	s.Release(second, nil) // a second release has no effect
	s.Release(full[1], nil)
	is.True(idle(table))
}

// TestExportGoesToAnotherDecode checks that an export is placed at a decode upstream
// that has not failed the request.
func TestExportGoesToAnotherDecode(t *testing.T) {
	is := is.New(t)
	s, table, _ := newScheduler()
	q := query(request(1))
	q.Try.Attempt = 2
	q.Failed = []string{"d1"}
	q.Export = &core.Export{Upstream: "p1", Expires: now + 500}
	for range 4 {
		p, err := s.Place(t.Context(), q)
		is.NoErr(err)
		is.Equal(p.Decode.Name, "d2")
		is.Equal(p.Prefill.Name, "")
		s.Release(p, nil)
	}
	// If both have failed, the one that failed last is avoided.
	q.Failed = []string{"d2", "d1"}
	p, err := s.Place(t.Context(), q)
	is.NoErr(err)
	is.Equal(p.Decode.Name, "d2")
	s.Release(p, nil)
	is.True(idle(table))
}
