package flow_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/client"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/plat"
	"lacewinghook.example/lacewinghook/trial"
)

const (
	venom    = "hemlock"
	innocent = 6
)

// crashes counts the crashes of all engines.
func crashes(s *trial.Set) int64 {
	var n int64
	for _, e := range append(s.Prefills, s.Decodes...) {
		n += e.Count.Crashes.Load()
	}
	return n
}

// reported tells whether every entry has a report of every engine.
func reported(t *testing.T, s *trial.Set) bool {
	for _, n := range s.Entries {
		op := client.Client{Base: "http://" + n.Admin, Token: trial.Token}
		ups, err := op.Upstreams(t.Context())
		is.New(t).NoErr(err)
		for _, u := range ups {
			if u.Age < 0 {
				return false
			}
		}
	}
	return true
}

// poisoned sends a poison request among innocent ones and sends it again to
// another entry.
func poisoned(t *testing.T, at func(s *trial.Set) []*fake.Engine) {
	is := is.New(t)
	s := start(t, trial.Plan{Entries: 2, Prefills: 3, Decodes: 3, Speed: fake.Speed{Step: 10, Prefill: 1}})
	for _, e := range at(s) {
		e.Trouble.Set(fake.Ills{Poison: venom, Down: 200})
	}
	within(t, freeWithin, "the entries have reports", func() bool { return reported(t, s) })
	type result struct {
		r   *trial.Reply
		err error
	}
	others := make(chan result, innocent)
	for i := range innocent {
		go func() {
			r, err := s.Client(i%2).Complete(t.Context(), ask(i%3 > 0), nil)
			others <- result{r, err}
		}()
	}
	within(t, freeWithin, "the innocent run", func() bool { return held(s) >= innocent })
	bad := trial.Ask{Model: trial.Model, Prompt: venom, MaxTokens: tokens}
	for i := range 3 {
		_, err := s.Client(i%2).Complete(t.Context(), bad, nil)
		is.True(codes.Has(err, codes.Quarantined))
		is.Equal(codes.From(err).Run == codes.NotRun, i > 0) // only the first one ran
	}
	for range innocent {
		got := <-others
		whole(t, got.r, got.err)
	}
	is.Equal(crashes(s), int64(2))
	op := client.Client{Base: "http://" + s.Entries[1].Admin, Token: trial.Token}
	list, err := op.Quarantine(t.Context())
	is.NoErr(err)
	is.Equal(len(list), 1)
	for _, e := range at(s) {
		e.Trouble.Set(fake.Ills{})
	}
	is.NoErr(op.Lift(t.Context(), list[0].Digest))
	within(t, 3*clock.Second, "the lift is known everywhere", func() bool {
		_, err := s.Client(0).Complete(t.Context(), bad, nil)
		return err == nil
	})
}

// poisonedWithoutTable sends a poison request to one entry and then to the
// other while the table is down.
func poisonedWithoutTable(t *testing.T) {
	is := is.New(t)
	s := start(t, trial.Plan{Entries: 2, Prefills: 1, Decodes: 3})
	within(t, freeWithin, "the entries have reports", func() bool { return reported(t, s) })
	for _, e := range s.Decodes {
		e.Trouble.Set(fake.Ills{Poison: venom, Down: 200})
	}
	s.Platform.Faults.Add(plat.Fault{Kind: plat.Down})
	for i := range 3 {
		bad := trial.Ask{Model: trial.Model, Prompt: venom, MaxTokens: tokens}
		_, err := s.Client(i%2).Complete(t.Context(), bad, nil)
		is.True(codes.Has(err, codes.Quarantined))
	}
	is.Equal(crashes(s), int64(2))
}
