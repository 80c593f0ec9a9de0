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
	"lacewinghook.example/lacewinghook/plat"
	"lacewinghook.example/lacewinghook/store"
	"lacewinghook.example/lacewinghook/trial"
)

const (
	testLimit = 30 * time.Second
	// bound is the promise: no new work after so long.
	bound = 3 * clock.Second
)

func TestPromise(t *testing.T) {
	t.Run("a leaving upstream gets nothing new", func(t *testing.T) {
		for name, d := range map[string]drain.Drain{
			"drain during a burst": {Kind: drain.Upstream, Name: "decode-1"},
			"data centre":          {Kind: drain.Centre, Name: "weyburn"},
		} {
			t.Run(name, func(t *testing.T) { drainInBurst(t, d, func(*trial.Set) {}) })
		}
		t.Run("entry cut from the table", func(t *testing.T) {
			drainInBurst(t, drain.Drain{Kind: drain.Upstream, Name: "decode-1"},
				func(s *trial.Set) { s.Entries[1].Platform.Cut() })
		})
		t.Run("during long prefills", drainInPrefill)
		t.Run("undrain racing drain", undrainRaces)
		t.Run("instance", drainInstance)
		t.Run("answers lost", answersLost)
	})
}

// drainInBurst drains decode-1 while callers press on both entries, and looks
// at the engine's own count.
func drainInBurst(t *testing.T, d drain.Drain, before func(*trial.Set)) {
	is := is.New(t)
	set, err := trial.Start(trial.Plan{
		// Six callers need the memory of both decode engines.
		Entries: 2, Prefills: 1, Decodes: 2, Linger: 1, Relays: true, Pieces: 4,
		Speed: fake.Speed{Prefill: 1000, Step: 1}, Edit: func(doc *core.Document) {
			for i := range doc.Upstreams {
				if doc.Upstreams[i].Name == "decode-1" {
					doc.Upstreams[i].Centre = "weyburn"
				}
			}
		},
	})
	is.NoErr(err)
	defer set.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	var wait sync.WaitGroup
	var over atomic.Bool
	var served [2]atomic.Int64
	for i := range 6 {
		c := set.Client(i % 2)
		c.HTTP = &http.Client{Transport: &http.Transport{}}
		defer c.HTTP.CloseIdleConnections()
		wait.Go(func() {
			for !over.Load() {
				if _, err := c.Complete(ctx, trial.Ask{Model: trial.Model, Prompt: "wheat", MaxTokens: 5}, nil); err != nil {
					t.Error(err)
					return
				}
				served[i%2].Add(1)
			}
		})
	}
	until := func(cond func() bool) {
		t.Helper()
		if err := trial.Until(ctx, cond); err != nil {
			over.Store(true)
			wait.Wait()
			t.Fatal(err)
		}
	}
	until(func() bool { return set.Decodes[0].Count.Decodes.Load() > 10 })
	before(set)
	book := &drain.Book{Table: &store.Client{Base: set.Base}}
	is.NoErr(book.Drain(ctx, d))
	ordered := clock.Clock{}.Now()
	until(func() bool { return clock.Clock{}.Now()-ordered >= bound })
	count := set.Decodes[0].Count.Decodes.Load()
	a, b := served[0].Load(), served[1].Load()
	until(func() bool { return served[0].Load() > a+20 && served[1].Load() > b+20 })
	is.Equal(set.Decodes[0].Count.Decodes.Load(), count) // new work after the bound
	is.NoErr(book.Undrain(ctx, d.Kind, d.Name))
	until(func() bool { return set.Decodes[0].Count.Decodes.Load() > count })
	over.Store(true)
	wait.Wait()
}

// drainInPrefill drains a decode engine while prompts are computed whose
// requests were placed there before. All are answered, elsewhere.
func drainInPrefill(t *testing.T) {
	is := is.New(t)
	set, err := trial.Start(trial.Plan{Entries: 1, Prefills: 4, Decodes: 2, Linger: 1, Speed: fake.Speed{Prefill: 1, Step: 1}})
	is.NoErr(err)
	defer set.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	const requests = 4
	var wait sync.WaitGroup
	for i := range requests {
		wait.Go(func() {
			prompt := fmt.Sprint(i) + strings.Repeat(" wheat", 3000) // 4.5 s
			r, err := set.Client(0).Complete(ctx, trial.Ask{Model: trial.Model, Prompt: prompt, MaxTokens: 5}, nil)
			if err != nil || r.Text != strings.Join(fake.Answer(prompt, 5), "") {
				t.Error(err)
			}
		})
	}
	is.NoErr(trial.Until(ctx, func() bool { return set.Prefills[0].Held() >= 1 && set.Prefills[3].Held() >= 1 }))
	is.NoErr((&drain.Book{Table: &store.Client{Base: set.Base}}).Drain(ctx, drain.Drain{Kind: drain.Upstream, Name: "decode-1"}))
	ordered := clock.Clock{}.Now()
	is.NoErr(trial.Until(ctx, func() bool { return clock.Clock{}.Now()-ordered >= bound }))
	count := set.Decodes[0].Count.Decodes.Load()
	wait.Wait()
	is.Equal(set.Decodes[0].Count.Decodes.Load(), count) // new work after the bound
	is.True(set.Decodes[1].Count.Decodes.Load() > 0)
}

// drainInstance drains an entry: it leaves the addresses and goes on serving.
func drainInstance(t *testing.T) {
	is := is.New(t)
	set, err := trial.Start(trial.Plan{Entries: 2, Prefills: 1, Decodes: 1, Linger: 1, Speed: fake.Speed{Prefill: 1000, Step: 1}})
	is.NoErr(err)
	defer set.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	given := func(n int) func() bool {
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
	is.NoErr(trial.Until(ctx, given(2)))
	book := &drain.Book{Table: &store.Client{Base: set.Base}}
	is.NoErr(book.Drain(ctx, drain.Drain{Kind: drain.Instance, Name: "moose-jaw-1"}))
	within, stop := context.WithTimeout(ctx, bound.Std())
	defer stop()
	is.NoErr(trial.Until(within, given(1)))
	_, err = set.Client(0).Complete(ctx, trial.Ask{Model: trial.Model, Prompt: "wheat", MaxTokens: 5}, nil)
	is.NoErr(err)
	is.NoErr(book.Undrain(ctx, drain.Instance, "moose-jaw-1"))
	is.NoErr(trial.Until(ctx, given(2)))
}

// table starts a platform and returns a way to make books over it.
func table(t *testing.T) (*plat.Platform, func() *drain.Book) {
	p := &plat.Platform{}
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	return p, func() *drain.Book {
		return &drain.Book{Table: &store.Client{Base: srv.URL, HTTP: srv.Client()}}
	}
}

// undrainRaces lets two operators drain and undrain one upstream at once. No
// order may be lost or fail, and all see one state in the end.
func undrainRaces(t *testing.T) {
	is := is.New(t)
	_, book := table(t)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	a, b := book(), book()
	for range 20 {
		var wait sync.WaitGroup
		wait.Go(func() { is.NoErr(a.Drain(ctx, drain.Drain{Kind: drain.Upstream, Name: "decode-1"})) })
		wait.Go(func() { is.NoErr(b.Undrain(ctx, drain.Upstream, "decode-1")) })
		wait.Wait()
		is.NoErr(a.Refresh(ctx))
		is.NoErr(b.Refresh(ctx))
		is.Equal(a.State(), b.State())
		is.NoErr(b.Undrain(ctx, drain.Upstream, "decode-1"))
		is.Equal(len(b.List()), 0)
	}
}

// answersLost drains through each fault of the table.
func answersLost(t *testing.T) {
	for name, tc := range map[string]struct {
		faults []plat.Fault
		code   codes.Code
	}{
		"commit lost":              {faults: []plat.Fault{{Kind: plat.Lost, Op: plat.Commit, Count: 1}}},
		"commit dropped":           {faults: []plat.Fault{{Kind: plat.Dropped, Op: plat.Commit, Count: 1}}},
		"commit late":              {faults: []plat.Fault{{Kind: plat.Late, Op: plat.Commit, Count: 1, Delay: 20}}},
		"down before anything":     {faults: []plat.Fault{{Kind: plat.Down}}, code: codes.PlatformDown},
		"commits lost throughout":  {faults: []plat.Fault{{Kind: plat.Dropped, Op: plat.Commit}}, code: codes.PublishUnsure},
		"commit lost and a commit": {faults: []plat.Fault{{Kind: plat.Lost, Op: plat.Commit, Count: 1}, {Kind: plat.Dropped, Op: plat.Commit, Count: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, book := table(t)
			ctx, cancel := context.WithTimeout(context.Background(), testLimit)
			defer cancel()
			for _, f := range tc.faults {
				p.Faults.Add(f)
			}
			err := book().Drain(ctx, drain.Drain{Kind: drain.Upstream, Name: "decode-1"})
			p.Faults.Clear()
			other := book()
			is.NoErr(other.Refresh(ctx))
			if tc.code != 0 {
				is.True(codes.Has(err, tc.code))
				return
			}
			is.NoErr(err)
			is.True(other.State().Has(drain.Upstream, "decode-1"))
			is.Equal(other.Version(), int64(1)) // the order took effect once
		})
	}
}
