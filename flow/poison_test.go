package flow_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"

	"lacewinghook.example/lacewinghook/client"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/flow"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/pltsim"
	"lacewinghook.example/lacewinghook/poison"
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

// warnings returns a logger that adds warnings to the test's output, among them one for
// each crash with its suspect.
func warnings(t *testing.T) *zap.Logger {
	return zaptest.NewLogger(t, zaptest.Level(zap.WarnLevel))
}

// testPoisonRequest sends a poison request, which crashes the engines in at(s), while
// other requests run, and repeats it at another entry. It must be quarantined after
// two crashes, and the other requests must get complete answers.
func testPoisonRequest(t *testing.T, at func(s *trial.Cluster) []*fake.Engine) {
	is := is.New(t)
	s := start(t, trial.Plan{Entries: 2, Prefills: 3, Decodes: 3, Speed: fake.Speed{StepTime: 10, PrefillRate: 1}, Log: warnings(t)})
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
	s := start(t, trial.Plan{Entries: 2, Prefills: 1, Decodes: 3, Log: warnings(t)})
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

// crashingPair is twoPairs with a decode engine d1 that crashes. During the prefill,
// another upstream is found to have crashed while it ran the same digest.
type crashingPair struct {
	twoPairs
	clock      *clock.Manual
	quarantine *poison.Quarantine
	// isolated is the error of another suspect's wait for d2 during its decode call.
	isolated error
}

// Load fails as for a process that has ended.
func (p *crashingPair) Load(context.Context, core.Upstream) (core.Report, error) {
	return core.Report{}, codes.New(codes.UpstreamRefused, "refused").WithRun(codes.NotRun)
}

// Prefill records the crash of the other upstream.
func (p *crashingPair) Prefill(ctx context.Context, up core.Upstream, try core.Try) (core.Export, error) {
	began := p.clock.Now()
	p.clock.Advance(100)
	p.quarantine.AddCrash(ctx, core.Upstream{Name: "d0"}, "1", began, try.Request.Digest)
	p.clock.Advance(100)
	return core.Export{Upstream: up.Name, Expires: clock.Minute}, nil
}

// Decode fails at d1 like a call to a process that crashes.
func (p *crashingPair) Decode(ctx context.Context, up core.Upstream, try core.Try, x core.Export, onTransferred func(), onToken func(core.Token) error) error {
	p.clock.Advance(100)
	if up.Name == "d1" {
		return codes.New(codes.UpstreamLost, "connection reset")
	}
	brief, cancel := context.WithTimeout(ctx, (20 * clock.Millis(1)).Duration())
	defer cancel()
	_, p.isolated = p.quarantine.Isolate(brief, try.Request.Digest, up.Name)
	return p.twoPairs.Decode(ctx, up, try, x, onTransferred, onToken)
}

// TestAdmittedBeforeCrashIsNoRetry guards against the quarantine of an innocent request:
// a run that was admitted before a copy of it became a suspect is not isolated from the
// request that crashes the upstreams, even if its decode call comes later. The second
// decode upstream, which gets the export after the crash, must be isolated.
func TestAdmittedBeforeCrashIsNoRetry(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	m.Advance(clock.Second)
	p := &crashingPair{twoPairs: twoPairs{cancels: make(chan core.Cancel, 4)}, clock: m}
	p.quarantine = &poison.Quarantine{Engines: p, Clock: clock.Clock{Manual: m}}
	f := &flow.Flow{Engines: p, Placer: p, Cancels: p, Quarantine: p.quarantine, Meter: &meter.Registry{}, Clock: clock.Clock{Manual: m}}
	var got answerText
	// A request that is quarantined is answered only after a wait on the clock.
	ctx, cancel := context.WithTimeout(t.Context(), (5 * clock.Second).Duration())
	defer cancel()
	err := f.Run(ctx, &core.Request{Digest: 7}, &got)
	is.True(p.quarantine.Suspect(7))
	is.True(!p.quarantine.Quarantined(7))
	is.NoErr(err)
	is.Equal(got, answerText("d2 d2 d2 stop"))
	is.True(p.isolated != nil) // no other suspect could run at d2
}
