package flow_test

import (
	"context"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/trial"
)

// TestMain fails if goroutines leak.
func TestMain(m *testing.M) {
	status := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if err := goleak.Find(); status == 0 && err != nil {
		println(err.Error())
		status = 1
	}
	os.Exit(status)
}

const (
	prompt = "A card for a harvest home, kind and plain. "
	tokens = 30
	// freeWithin bounds how long memory may stay held after its request ended.
	freeWithin = 5 * clock.Second
)

// start starts a set of fake engines and entries, and stops it at the end of the
// test.
func start(t *testing.T, p trial.Plan) *trial.Cluster {
	t.Helper()
	p.Linger = 1
	if p.Speed == (fake.Speed{}) {
		p.Speed = fake.Speed{StepTime: 2, PrefillRate: 4}
	}
	s, err := trial.Start(p)
	is.New(t).NoErr(err)
	t.Cleanup(s.Stop)
	return s
}

// requireWithin waits until cond returns true and fails the test after d.
func requireWithin(t *testing.T, d clock.Millis, what string, cond func() bool) {
	t.Helper()
	ctx, done := context.WithTimeout(context.Background(), d.Duration())
	defer done()
	if trial.WaitUntil(ctx, cond) != nil {
		t.Fatalf("not within %d ms: %s", d, what)
	}
}

// heldPieces returns the number of KV cache pieces that all engines hold.
func heldPieces(s *trial.Cluster) int {
	n := 0
	for _, e := range append(s.Prefills, s.Decodes...) {
		n += e.HeldPieces()
	}
	return n
}

// requireWhole fails the test unless the reply is the engine's complete answer.
func requireWhole(t *testing.T, r *trial.Reply, err error) {
	t.Helper()
	is := is.New(t)
	is.NoErr(err)
	is.Equal(r.Text, strings.Join(fake.Answer(prompt, tokens), ""))
}

// newAsk returns the usual request of these tests.
func newAsk(stream bool) trial.Request {
	return trial.Request{Model: trial.Model, Prompt: prompt, MaxTokens: tokens, Stream: stream}
}

// disconnectPhases lists the phases of a request in which its caller disconnects, and
// the faults that prolong them.
var disconnectPhases = []struct {
	name            string
	prefill, decode fake.Faults
	// reached reports whether the request is in the phase; seen is the number
	// of tokens received.
	reached func(s *trial.Cluster, seen int) bool
}{
	{"prefill", fake.Faults{SlowFactor: 10000}, fake.Faults{}, func(s *trial.Cluster, _ int) bool { return s.Prefills[0].HeldPieces() > 0 }},
	{"transfer", fake.Faults{TransferDelay: clock.Minute}, fake.Faults{}, func(s *trial.Cluster, _ int) bool { return s.Decodes[0].HeldPieces() > 0 }},
	{"decode", fake.Faults{}, fake.Faults{SlowFactor: 20}, func(_ *trial.Cluster, seen int) bool { return seen > 2 }},
}

// cancelFaults lists the faults of the engines when they receive the cancel.
var cancelFaults = []struct {
	name string
	ills fake.Faults
}{
	{"plain", fake.Faults{}},
	{"cancel lost", fake.Faults{LoseCancels: 3}},
	{"cancel slow", fake.Faults{CancelDelay: 300}},
}

// TestPromise checks the guarantees to callers and operators under faults.
func TestPromise(t *testing.T) {
	t.Run("memory freed", func(t *testing.T) {
		for _, p := range disconnectPhases {
			for _, f := range cancelFaults {
				t.Run("caller disconnects in "+p.name+", "+f.name, func(t *testing.T) {
					s := start(t, trial.Plan{Entries: 1, Prefills: 1, Decodes: 1})
					s.Prefills[0].Faults.Set(withCancelFaults(p.prefill, f.ills))
					s.Decodes[0].Faults.Set(withCancelFaults(p.decode, f.ills))
					disconnectWhen(t, s, func(seen int) bool { return p.reached(s, seen) })
					requireWithin(t, freeWithin, "all memory is free", func() bool { return heldPieces(s) == 0 })
				})
			}
		}
		t.Run("caller disconnects in engine queue", disconnectInEngineQueue)
		t.Run("caller disconnects waiting for memory", disconnectWaitingForMemory)
		t.Run("caller disconnects in wait queue", disconnectInWaitQueue)
		t.Run("caller disconnects after a resume", disconnectAfterResume)
		t.Run("caller disconnects, then the entry stops", disconnectThenStop)
		t.Run("entry killed", entryKilled)
		t.Run("entry suspended, then resumed", entryFrozen)
		t.Run("engine suspended, then resumed", engineFrozen)
	})
	t.Run("answered once and whole", func(t *testing.T) {
		for _, c := range engineFaults {
			t.Run(c.name, func(t *testing.T) { testEngineFault(t, c) })
		}
		t.Run("decode engine crashes mid-stream", decodeCrashes)
		t.Run("transfer stalls", transferStalls)
		t.Run("entry killed mid-stream", resumedAfterKill)
		t.Run("resumed on two entries at once", resumedAtTwo)
	})
	t.Run("not run is true", func(t *testing.T) {
		for _, c := range runStatusCases {
			t.Run(c.name, func(t *testing.T) { testRunStatus(t, c.decodes, c.inject, c.deadline, c.mayHaveRun) })
		}
	})
	t.Run("poison", func(t *testing.T) {
		t.Run("crashes decode upstreams", func(t *testing.T) {
			testPoisonRequest(t, func(s *trial.Cluster) []*fake.Engine { return s.Decodes })
		})
		t.Run("table is down", testPoisonWithoutTable)
		t.Run("crashes prefill upstreams", func(t *testing.T) {
			testPoisonRequest(t, func(s *trial.Cluster) []*fake.Engine { return s.Prefills })
		})
	})
}

// withCancelFaults returns a with the cancel faults of b.
func withCancelFaults(a, b fake.Faults) fake.Faults {
	a.LoseCancels, a.CancelDelay = b.LoseCancels, b.CancelDelay
	return a
}

// disconnectWhen makes a streaming call and disconnects once reached returns true;
// seen is the number of tokens received.
func disconnectWhen(t *testing.T, s *trial.Cluster, reached func(seen int) bool) {
	t.Helper()
	ctx, disconnect := context.WithCancel(t.Context())
	seen := make(chan int, 1000)
	ended := make(chan struct{})
	var err error
	go func() {
		defer close(ended)
		long := trial.Request{Model: trial.Model, Prompt: prompt, MaxTokens: 1000, Stream: true}
		_, err = s.Client(0).Complete(ctx, long, func(r *trial.Reply) { seen <- len(r.Tokens) })
	}()
	requireWithin(t, freeWithin, "the request is in its phase", func() bool {
		select {
		case <-ended:
			t.Fatalf("the request ended before its phase: %v", err)
		default:
		}
		return reached(len(seen))
	})
	disconnect()
	<-ended
}

// startOccupied starts a set with one engine of each role and a long request, and
// waits until occupied returns true. end disconnects the caller of that request.
func startOccupied(t *testing.T, p trial.Plan, occupied func(s *trial.Cluster) bool) (s *trial.Cluster, end func()) {
	t.Helper()
	p.Entries, p.Prefills, p.Decodes = 1, 1, 1
	s = start(t, p)
	s.Prefills[0].Faults.Set(fake.Faults{})
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = s.Client(0).Complete(ctx, trial.Request{Model: trial.Model, Prompt: "first", MaxTokens: 2000, Stream: true}, nil)
	}()
	t.Cleanup(func() { end(); <-ended })
	requireWithin(t, freeWithin, "the engine is occupied", func() bool { return occupied(s) })
	return s, end
}

// disconnectInEngineQueue disconnects two requests, one after the other, while the
// prefill engine is slow.
func disconnectInEngineQueue(t *testing.T) {
	s, end := startOccupied(t, trial.Plan{Speed: fake.Speed{StepTime: 20, PrefillRate: 1}}, func(s *trial.Cluster) bool {
		return s.Decodes[0].HeldPieces() > 0
	})
	s.Prefills[0].Faults.Set(fake.Faults{SlowFactor: 1000})
	disconnectWhen(t, s, func(int) bool { return s.Prefills[0].HeldPieces() > 0 })
	disconnectWhen(t, s, func(int) bool { return s.Prefills[0].HeldPieces() > 0 || heldPieces(s) > 0 })
	end()
	requireWithin(t, freeWithin, "all memory is free", func() bool { return heldPieces(s) == 0 })
}

// disconnectWaitingForMemory disconnects while the request waits at the decode engine
// for memory. The policy doesn't reserve memory before the prefill.
func disconnectWaitingForMemory(t *testing.T) {
	s, end := startOccupied(t, trial.Plan{DecodePieces: 2, Policy: "least", Speed: fake.Speed{StepTime: 20, PrefillRate: 100}}, func(s *trial.Cluster) bool {
		return s.Decodes[0].HeldPieces() == 2
	})
	waiting := func(int) bool { return s.Decodes[0].Waiting() > 0 }
	disconnectWhen(t, s, waiting)
	requireWithin(t, freeWithin, "the request no longer waits", func() bool { return !waiting(0) })
	end()
	requireWithin(t, freeWithin, "all memory is free", func() bool { return heldPieces(s) == 0 })
	is.New(t).Equal(s.Decodes[0].Counters.Decodes.Load(), int64(1))
}

// disconnectInWaitQueue disconnects while the request waits for decode memory in the
// entry's wait queue. Its prefill must never have started.
func disconnectInWaitQueue(t *testing.T) {
	s, end := startOccupied(t, trial.Plan{DecodePieces: 2, Speed: fake.Speed{StepTime: 20, PrefillRate: 100}}, func(s *trial.Cluster) bool {
		return s.Decodes[0].HeldPieces() == 2
	})
	prefills := s.Prefills[0].Counters.Prefills.Load()
	disconnectWhen(t, s, func(int) bool { return s.Entries[0].Entry.Waiting() > 0 })
	requireWithin(t, freeWithin, "the wait queue is empty", func() bool { return s.Entries[0].Entry.Waiting() == 0 })
	end()
	requireWithin(t, freeWithin, "all memory is free", func() bool { return heldPieces(s) == 0 })
	is.New(t).Equal(s.Prefills[0].Counters.Prefills.Load(), prefills)
	is.New(t).Equal(s.Decodes[0].Counters.Decodes.Load(), int64(1))
}

// engineFault is a case of testEngineFault: the faults of the engines of each role.
type engineFault struct {
	name            string
	prefill, decode fake.Faults
}

// engineFaults lists faults despite which the caller must get a complete answer.
var engineFaults = []engineFault{
	{"stream cut after a token", fake.Faults{}, fake.Faults{CutAfter: 7, CutTimes: 1}},
	{"stream cut repeatedly", fake.Faults{}, fake.Faults{CutAfter: 3, CutTimes: 6}},
	{"stream cut in the first event", fake.Faults{}, fake.Faults{CutByte: 9, CutTimes: 1}},
	{"stream cut in the middle of an event", fake.Faults{}, fake.Faults{CutByte: 1000, CutTimes: 1}},
	{"stream cut before the end marker", fake.Faults{}, fake.Faults{CutAfter: tokens, CutTimes: 1}},
	{"two events of another request", fake.Faults{}, fake.Faults{CrossAnswers: 2}},
	{"all events of another request", fake.Faults{}, fake.Faults{CrossAnswers: tokens}},
	{"events of an old attempt", fake.Faults{}, fake.Faults{StaleAnswers: 2}},
	{"prefill answer of another request", fake.Faults{CrossAnswers: 1}, fake.Faults{}},
	{"prefill answer of an old attempt", fake.Faults{StaleAnswers: 1}, fake.Faults{}},
	{"prefill answer lost", fake.Faults{LoseAnswers: 1}, fake.Faults{}},
	{"event of another request, then cut", fake.Faults{}, fake.Faults{CrossAnswers: 1, CutAfter: 4, CutTimes: 2}},
}

// testEngineFault runs two requests on faulty engines and expects complete answers.
func testEngineFault(t *testing.T, c engineFault) {
	// A retry avoids the upstreams that failed, so the faults of both decode
	// engines occur.
	s := start(t, trial.Plan{Entries: 1, Prefills: 2, Decodes: 2, EditDocument: func(doc *core.Document) {
		doc.Profiles[0].Retries = 6
	}})
	for _, e := range s.Prefills {
		e.Faults.Set(c.prefill)
	}
	for _, e := range s.Decodes {
		e.Faults.Set(c.decode)
	}
	for _, stream := range []bool{true, false} {
		r, err := s.Client(0).Complete(t.Context(), newAsk(stream), nil)
		requireWhole(t, r, err)
	}
	requireWithin(t, freeWithin, "all memory is free", func() bool { return heldPieces(s) == 0 })
}

// decodeCrashes crashes the decode engine while it streams. The answer must continue
// at the other one.
func decodeCrashes(t *testing.T) {
	s := start(t, trial.Plan{Entries: 1, Prefills: 1, Decodes: 2, Speed: fake.Speed{StepTime: 5, PrefillRate: 100}})
	crashed := false
	r, err := s.Client(0).Complete(t.Context(), newAsk(true), func(r *trial.Reply) {
		if len(r.Tokens) < 5 || crashed {
			return
		}
		crashed = true
		for _, e := range s.Decodes {
			if e.HeldPieces() > 0 {
				e.Faults.Set(fake.Faults{Downtime: clock.Second})
				e.Crash()
			}
		}
	})
	requireWhole(t, r, err)
	is.New(t).True(crashed)
}

// disconnectThenStop disconnects and stops the entry while the engine loses cancels.
// The entry must retry them before it stops.
func disconnectThenStop(t *testing.T) {
	s := start(t, trial.Plan{Entries: 1, Prefills: 1, Decodes: 1})
	s.Decodes[0].Faults.Set(fake.Faults{SlowFactor: 20, LoseCancels: 5})
	disconnectWhen(t, s, func(seen int) bool { return seen > 2 })
	is.New(t).NoErr(s.Entries[0].Stop())
	is.New(t).Equal(heldPieces(s), 0) // the stop waits until the cancels are confirmed
}

// transferStalls stalls every transfer from one of two prefill engines. The answers
// must be complete, and the prefill tokens counted as wasted.
func transferStalls(t *testing.T) {
	s := start(t, trial.Plan{Entries: 1, Prefills: 2, Decodes: 2})
	s.Prefills[0].Faults.Set(fake.Faults{TransferDelay: clock.Minute})
	stalled := func() bool { return s.Prefills[0].Counters.Prefills.Load() > 0 }
	for range 20 {
		r, err := s.Client(0).Complete(t.Context(), newAsk(true), nil)
		requireWhole(t, r, err)
		if stalled() {
			break
		}
	}
	is := is.New(t)
	is.True(stalled())
	is.True(s.Entries[0].Entry.Meter().Value("wasted_prefill_tokens_total", "reason", "transfer_stalled") > 0)
	requireWithin(t, freeWithin, "all memory is free", func() bool { return heldPieces(s) == 0 })
}
