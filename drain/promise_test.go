package drain_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/drain"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/pltsim"
	"lacewinghook.example/lacewinghook/store"
	"lacewinghook.example/lacewinghook/trial"
)

const (
	// testTimeout bounds each test.
	testTimeout = 30 * time.Second
	// drainBound is the time after which a drained upstream must receive no new
	// work.
	drainBound = 3 * clock.Second
)

// TestPromise checks that a drained target receives no new work after drainBound,
// under faults of the table and concurrent changes.
func TestPromise(t *testing.T) {
	t.Run("a leaving upstream gets nothing new", func(t *testing.T) {
		for name, d := range map[string]drain.Drain{
			"drain during a burst": {Kind: drain.Upstream, Name: "decode-1"},
			"data centre":          {Kind: drain.Centre, Name: "weyburn"},
		} {
			t.Run(name, func(t *testing.T) { drainInBurst(t, d, func(*trial.Cluster) {}) })
		}
		t.Run("entry cut off from the table", func(t *testing.T) {
			drainInBurst(t, drain.Drain{Kind: drain.Upstream, Name: "decode-1"},
				func(s *trial.Cluster) { s.Entries[1].PlatformProxy.Cut() })
		})
		t.Run("during long prefills", drainInPrefill)
		t.Run("undrain racing drain", undrainRaces)
		t.Run("instance", drainInstance)
		t.Run("answers lost", answersLost)
	})
}

// drainInBurst drains decode-1 while callers send requests to both entries. The
// number of requests that the engine itself counted must not rise after
// drainBound, and must rise again after the drain is removed.
func drainInBurst(t *testing.T, d drain.Drain, before func(*trial.Cluster)) {
	is := is.New(t)
	set, err := trial.Start(trial.Plan{
		// Six callers need the memory of both decode engines.
		Entries: 2, Prefills: 1, Decodes: 2, Linger: 1, Proxies: true, DecodePieces: 4,
		Speed: fake.Speed{PrefillRate: 1000, StepTime: 1}, EditDocument: func(doc *core.Document) {
			for i := range doc.Upstreams {
				if doc.Upstreams[i].Name == "decode-1" {
					doc.Upstreams[i].Centre = "weyburn"
				}
			}
		},
	})
	is.NoErr(err)
	defer set.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var wait sync.WaitGroup
	var stopped atomic.Bool
	var served [2]atomic.Int64
	for i := range 6 {
		c := set.Client(i % 2)
		c.HTTP = &http.Client{Transport: &http.Transport{}}
		defer c.HTTP.CloseIdleConnections()
		wait.Go(func() {
			for !stopped.Load() {
				if _, err := c.Complete(ctx, trial.Request{Model: trial.Model, Prompt: "wheat", MaxTokens: 5}, nil); err != nil {
					t.Error(err)
					return
				}
				served[i%2].Add(1)
			}
		})
	}
	until := func(cond func() bool) {
		t.Helper()
		if err := trial.WaitUntil(ctx, cond); err != nil {
			stopped.Store(true)
			wait.Wait()
			t.Fatal(err)
		}
	}
	until(func() bool { return set.Decodes[0].Counters.Decodes.Load() > 10 })
	before(set)
	drains := &drain.ActiveDrains{Table: &store.Client{Base: set.PlatformURL}}
	is.NoErr(drains.Drain(ctx, d))
	drainedAt := clock.Clock{}.Now()
	until(func() bool { return clock.Clock{}.Now()-drainedAt >= drainBound })
	count := set.Decodes[0].Counters.Decodes.Load()
	a, b := served[0].Load(), served[1].Load()
	until(func() bool { return served[0].Load() > a+20 && served[1].Load() > b+20 })
	is.Equal(set.Decodes[0].Counters.Decodes.Load(), count) // new work after the bound
	is.NoErr(drains.Undrain(ctx, d.Kind, d.Name))
	until(func() bool { return set.Decodes[0].Counters.Decodes.Load() > count })
	stopped.Store(true)
	wait.Wait()
}

// drainInPrefill drains a decode engine during the prefills of requests that
// were already assigned to it. All requests must be answered by the other
// engine.
func drainInPrefill(t *testing.T) {
	is := is.New(t)
	set, err := trial.Start(trial.Plan{Entries: 1, Prefills: 4, Decodes: 2, Linger: 1, Speed: fake.Speed{PrefillRate: 1, StepTime: 1}})
	is.NoErr(err)
	defer set.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	const requests = 4
	var wait sync.WaitGroup
	for i := range requests {
		wait.Go(func() {
			prompt := fmt.Sprint(i) + strings.Repeat(" wheat", 3000) // 4.5 s
			r, err := set.Client(0).Complete(ctx, trial.Request{Model: trial.Model, Prompt: prompt, MaxTokens: 5}, nil)
			if err != nil || r.Text != strings.Join(fake.Answer(prompt, 5), "") {
				t.Error(err)
			}
		})
	}
	is.NoErr(trial.WaitUntil(ctx, func() bool {
		working := 0
		for _, p := range set.Prefills {
			working += min(1, p.HeldPieces())
		}
		return working >= 2
	}))
	is.NoErr((&drain.ActiveDrains{Table: &store.Client{Base: set.PlatformURL}}).Drain(ctx, drain.Drain{Kind: drain.Upstream, Name: "decode-1"}))
	drainedAt := clock.Clock{}.Now()
	is.NoErr(trial.WaitUntil(ctx, func() bool { return clock.Clock{}.Now()-drainedAt >= drainBound }))
	count := set.Decodes[0].Counters.Decodes.Load()
	wait.Wait()
	is.Equal(set.Decodes[0].Counters.Decodes.Load(), count) // new work after the bound
	is.True(set.Decodes[1].Counters.Decodes.Load() > 0)
}

// drainInstance drains an entry. It must be removed from the addresses given to
// callers, but must still serve requests.
func drainInstance(t *testing.T) {
	is := is.New(t)
	set, err := trial.Start(trial.Plan{Entries: 2, Prefills: 1, Decodes: 1, Linger: 1, Speed: fake.Speed{PrefillRate: 1000, StepTime: 1}})
	is.NoErr(err)
	defer set.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	published := func(n int) func() bool {
		return func() bool {
			for i := range set.Entries {
				addrs, err := set.Client(i).Addresses(ctx)
				if err != nil || len(addrs) != n || (n == 1 && addrs[0] != set.Entries[1].Addr) {
					return false
				}
			}
			return true
		}
	}
	is.NoErr(trial.WaitUntil(ctx, published(2)))
	drains := &drain.ActiveDrains{Table: &store.Client{Base: set.PlatformURL}}
	is.NoErr(drains.Drain(ctx, drain.Drain{Kind: drain.Instance, Name: "moose-jaw-1"}))
	within, stop := context.WithTimeout(ctx, drainBound.Duration())
	defer stop()
	is.NoErr(trial.WaitUntil(within, published(1)))
	_, err = set.Client(0).Complete(ctx, trial.Request{Model: trial.Model, Prompt: "wheat", MaxTokens: 5}, nil)
	is.NoErr(err)
	is.NoErr(drains.Undrain(ctx, drain.Instance, "moose-jaw-1"))
	is.NoErr(trial.WaitUntil(ctx, published(2)))
}

// newPlatform starts a platform and returns a function that creates clients of
// its drains.
func newPlatform(t *testing.T) (*pltsim.Platform, func() *drain.ActiveDrains) {
	p := &pltsim.Platform{}
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	return p, func() *drain.ActiveDrains {
		return &drain.ActiveDrains{Table: &store.Client{Base: srv.URL, HTTP: srv.Client()}}
	}
}

// undrainRaces lets two operators drain and undrain one upstream concurrently.
// No change may be lost or fail, and both must see the same state afterwards.
func undrainRaces(t *testing.T) {
	is := is.New(t)
	_, newDrains := newPlatform(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	a, b := newDrains(), newDrains()
	for range 20 {
		var wait sync.WaitGroup
		wait.Go(func() { is.NoErr(a.Drain(ctx, drain.Drain{Kind: drain.Upstream, Name: "decode-1"})) })
		wait.Go(func() { is.NoErr(b.Undrain(ctx, drain.Upstream, "decode-1")) })
		wait.Wait()
		is.NoErr(a.Refresh(ctx))
		is.NoErr(b.Refresh(ctx))
		is.Equal(a.Snapshot(), b.Snapshot())
		is.NoErr(b.Undrain(ctx, drain.Upstream, "decode-1"))
		is.Equal(len(b.List()), 0)
	}
}

// answersLost sets a drain under each fault of the table. A drain that succeeds
// must have taken effect exactly once.
func answersLost(t *testing.T) {
	for name, tc := range map[string]struct {
		faults []pltsim.Fault
		code   codes.Code
	}{
		"answer lost":                    {faults: []pltsim.Fault{{Kind: pltsim.AnswerLost, Op: pltsim.OpCommit, Count: 1}}},
		"request lost":                   {faults: []pltsim.Fault{{Kind: pltsim.RequestLost, Op: pltsim.OpCommit, Count: 1}}},
		"applied late":                   {faults: []pltsim.Fault{{Kind: pltsim.AppliedLate, Op: pltsim.OpCommit, Count: 1, Delay: 20}}},
		"platform down":                  {faults: []pltsim.Fault{{Kind: pltsim.Unavailable}}, code: codes.PlatformDown},
		"every request lost":             {faults: []pltsim.Fault{{Kind: pltsim.RequestLost, Op: pltsim.OpCommit}}, code: codes.PublishUnsure},
		"answer lost, then request lost": {faults: []pltsim.Fault{{Kind: pltsim.AnswerLost, Op: pltsim.OpCommit, Count: 1}, {Kind: pltsim.RequestLost, Op: pltsim.OpCommit, Count: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, newDrains := newPlatform(t)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			for _, f := range tc.faults {
				p.Faults.Add(f)
			}
			err := newDrains().Drain(ctx, drain.Drain{Kind: drain.Upstream, Name: "decode-1"})
			p.Faults.Clear()
			other := newDrains()
			is.NoErr(other.Refresh(ctx))
			if tc.code != 0 {
				is.True(codes.Has(err, tc.code))
				return
			}
			is.NoErr(err)
			is.True(other.Snapshot().Has(drain.Upstream, "decode-1"))
			is.Equal(other.Version(), int64(1)) // the drain took effect once
		})
	}
}
