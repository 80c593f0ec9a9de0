package flow_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/client"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/pltsim"
	"lacewinghook.example/lacewinghook/trial"
)

const (
	poisonPrompt     = "hemlock"
	innocentRequests = 6
)

// crashes returns the number of crashes of all engines.
func crashes(s *trial.Cluster) int64 {
	var n int64
	for _, e := range append(s.Prefills, s.Decodes...) {
		n += e.Counters.Crashes.Load()
	}
	return n
}

// allReported reports whether every entry has a load report of every engine.
func allReported(t *testing.T, s *trial.Cluster) bool {
	for _, n := range s.Entries {
		op := client.Client{Base: "http://" + n.AdminAddr, Token: trial.OperatorToken}
		ups, err := op.Upstreams(t.Context())
		is.New(t).NoErr(err)
		for _, u := range ups {
			if u.ReportAge < 0 {
				return false
			}
		}
	}
	return true
}

// testPoisonRequest sends a poison request, which crashes the engines in at(s), while
// other requests run, and repeats it at another entry. It must be quarantined after
// two crashes, and the other requests must get complete answers.
func testPoisonRequest(t *testing.T, at func(s *trial.Cluster) []*fake.Engine) {
	is := is.New(t)
	s := start(t, trial.Plan{Entries: 2, Prefills: 3, Decodes: 3, Speed: fake.Speed{StepTime: 10, PrefillRate: 1}})
	for _, e := range at(s) {
		e.Faults.Set(fake.Faults{CrashText: poisonPrompt, Downtime: 200})
	}
	requireWithin(t, freeWithin, "the entries have reports", func() bool { return allReported(t, s) })
	type result struct {
		r   *trial.Reply
		err error
	}
	results := make(chan result, innocentRequests)
	for i := range innocentRequests {
		go func() {
			r, err := s.Client(i%2).Complete(t.Context(), newAsk(i%3 > 0), nil)
			results <- result{r, err}
		}()
	}
	requireWithin(t, freeWithin, "the other requests run", func() bool { return heldPieces(s) >= innocentRequests })
	bad := trial.Request{Model: trial.Model, Prompt: poisonPrompt, MaxTokens: tokens}
	for i := range 3 {
		_, err := s.Client(i%2).Complete(t.Context(), bad, nil)
		is.True(codes.Has(err, codes.Quarantined))
		is.Equal(codes.From(err).Run == codes.NotRun, i > 0) // only the first one ran
	}
	for range innocentRequests {
		got := <-results
		requireWhole(t, got.r, got.err)
	}
	is.Equal(crashes(s), int64(2))
	op := client.Client{Base: "http://" + s.Entries[1].AdminAddr, Token: trial.OperatorToken}
	list, err := op.Quarantine(t.Context())
	is.NoErr(err)
	is.Equal(len(list), 1)
	for _, e := range at(s) {
		e.Faults.Set(fake.Faults{})
	}
	is.NoErr(op.Lift(t.Context(), list[0].Digest))
	requireWithin(t, 3*clock.Second, "the quarantine is lifted at every entry", func() bool {
		_, err := s.Client(0).Complete(t.Context(), bad, nil)
		return err == nil
	})
}

// testPoisonWithoutTable sends a poison request to one entry and then to the other
// while the platform's table is down. The entries must quarantine it through their
// heartbeats.
func testPoisonWithoutTable(t *testing.T) {
	is := is.New(t)
	s := start(t, trial.Plan{Entries: 2, Prefills: 1, Decodes: 3})
	requireWithin(t, freeWithin, "the entries have reports", func() bool { return allReported(t, s) })
	for _, e := range s.Decodes {
		e.Faults.Set(fake.Faults{CrashText: poisonPrompt, Downtime: 200})
	}
	s.Platform.Faults.Add(pltsim.Fault{Kind: pltsim.Unavailable})
	for i := range 3 {
		bad := trial.Request{Model: trial.Model, Prompt: poisonPrompt, MaxTokens: tokens}
		_, err := s.Client(i%2).Complete(t.Context(), bad, nil)
		is.True(codes.Has(err, codes.Quarantined))
	}
	is.Equal(crashes(s), int64(2))
}
