package member_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/trial"
)

const (
	// tokens is the length of each answer.
	tokens = 40
	// testTimeout bounds each test.
	testTimeout = 30 * time.Second
)

// prompt takes the engine of these tests half a second to prefill.
var prompt = strings.Repeat("Snow on the elevator road. ", 148)

// ask is the completion request of these tests.
var ask = trial.Request{Model: trial.Model, Prompt: prompt, MaxTokens: tokens, Stream: true}

// complete reports whether the response has the whole text.
func complete(r *trial.Reply) bool {
	return r != nil && r.Text == strings.Join(fake.Answer(prompt, tokens), "")
}

// start runs a set of entries until the end of the test.
func start(t *testing.T, p trial.Plan) *trial.Cluster {
	t.Helper()
	set, err := trial.Start(p)
	is.New(t).NoErr(err)
	t.Cleanup(set.Stop)
	return set
}

// TestPromise checks that planned stops of entries fail no request and cut off no
// response.
func TestPromise(t *testing.T) {
	t.Run("a planned stop cuts nothing", func(t *testing.T) {
		t.Run("in every phase", stopInEveryPhase)
		t.Run("idle connections", stopWithIdleConnection)
		t.Run("two at once", func(t *testing.T) { stopUnderLoad(t, stopTwo) })
		t.Run("rolling replacement", func(t *testing.T) { stopUnderLoad(t, replaceAll) })
	})
}

// stopInEveryPhase stops an entry while a request is in each of its phases and
// checks that the response is complete.
func stopInEveryPhase(t *testing.T) {
	for name, phase := range map[string]struct {
		ills   fake.Faults
		policy string
		// before lists the entries whose long requests occupy the engine.
		before  []int
		reached func(*trial.Cluster, int64) bool
	}{
		"wait queue": {before: []int{0, 0}, reached: func(s *trial.Cluster, _ int64) bool { return s.Entries[0].Entry.Waiting() == 1 }},
		// Both prefill slots are leased to the other entry, which offers them as
		// they become free.
		"wait queue, behind another entry": {before: []int{1, 1}, reached: func(s *trial.Cluster, _ int64) bool { return s.Entries[0].Entry.Waiting() == 1 }},
		"engine queue":                     {before: []int{1}, policy: config.PolicyLeast, reached: func(s *trial.Cluster, _ int64) bool { return s.Prefills[0].HeldPieces() == 5 }},
		"prefill":                          {reached: func(s *trial.Cluster, _ int64) bool { return s.Prefills[0].HeldPieces() == 1 }},
		"transfer":                         {ills: fake.Faults{TransferDelay: 400}, reached: func(s *trial.Cluster, _ int64) bool { return s.Prefills[0].Counters.Prefills.Load() == 1 }},
		"decode":                           {reached: func(_ *trial.Cluster, seen int64) bool { return seen > 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			set := start(t, trial.Plan{
				Entries: 2, Prefills: 1, Decodes: 1, AddressTTL: 50, Linger: 100,
				Speed: fake.Speed{PrefillRate: 2, StepTime: 5}, Policy: phase.policy,
			})
			set.Prefills[0].Faults.Set(phase.ills)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			var wait sync.WaitGroup
			defer wait.Wait()
			waitForPeers(ctx, t, set)
			long := trial.Request{Model: trial.Model, Prompt: strings.Repeat(prompt, 4), MaxTokens: 1}
			for i, by := range phase.before {
				wait.Go(func() { _, _ = set.Client(by).Complete(ctx, long, nil) })
				is.NoErr(trial.WaitUntil(ctx, func() bool { return set.Prefills[0].HeldPieces() == core.Pieces(core.TokenEstimate(long.Prompt))*(i+1) }))
			}
			var seen atomic.Int64
			var reply *trial.Reply
			done := make(chan error, 1)
			go func() {
				var err error
				reply, err = set.Client(0).Complete(ctx, ask, func(*trial.Reply) { seen.Add(1) })
				done <- err
			}()
			is.NoErr(trial.WaitUntil(ctx, func() bool { return phase.reached(set, seen.Load()) }))
			is.NoErr(set.Entries[0].Stop())
			is.NoErr(<-done)
			is.True(complete(reply))
		})
	}
}

// stopWithIdleConnection sends a request on an idle keep-alive connection
// after the entry has closed its listener.
func stopWithIdleConnection(t *testing.T) {
	is := is.New(t)
	set := start(t, trial.Plan{Entries: 2, Prefills: 1, Decodes: 1, AddressTTL: clock.Second, Linger: clock.Second, Speed: fake.Speed{PrefillRate: 100, StepTime: 1}})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := set.Client(0)
	c.HTTP = &http.Client{Transport: &http.Transport{}}
	ask := ask
	ask.Stream = false
	r, err := c.Complete(ctx, ask, nil)
	is.NoErr(err)
	is.True(complete(r))
	stopped := make(chan error, 1)
	go func() { stopped <- set.Entries[0].Stop() }()
	is.NoErr(trial.WaitUntil(ctx, func() bool { return !listens(c.Addr) }))
	reused := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused },
	})
	r, err = c.Complete(traced, ask, nil)
	is.NoErr(err)
	is.True(complete(r))
	is.True(reused)
	_, err = c.Complete(ctx, ask, nil)
	is.True(err != nil) // the previous response closed the connection
	is.NoErr(<-stopped)
}

// listenTimeout is short: if a listener closes during a connection attempt,
// TCP sends the attempt again only after 1 s.
const listenTimeout = 100 * time.Millisecond

// listens reports whether the address accepts connections.
func listens(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, listenTimeout)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// stopTwo stops two entries at the same time.
func stopTwo(t *testing.T, set *trial.Cluster) {
	var wait sync.WaitGroup
	for _, n := range set.Entries[:2] {
		wait.Go(func() {
			if err := n.Stop(); err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
}

// replaceAll replaces one entry after another.
func replaceAll(t *testing.T, set *trial.Cluster) {
	for i := range 3 {
		if err := set.ReplaceEntry(i); err != nil {
			t.Fatal(err)
		}
	}
}

// waitForPeers waits until each entry knows all others. Before that, entries may
// disagree on the owner of an engine's prefill slots.
func waitForPeers(ctx context.Context, t *testing.T, set *trial.Cluster) {
	t.Helper()
	for i := range set.Entries {
		is.New(t).NoErr(trial.WaitUntil(ctx, func() bool {
			addrs, err := set.Client(i).Addresses(ctx)
			return err == nil && len(addrs) == len(set.Entries)
		}))
	}
}

// stopUnderLoad stops entries while callers that refresh their addresses send
// requests one after another. None may fail or receive an incomplete response.
func stopUnderLoad(t *testing.T, stop func(*testing.T, *trial.Cluster)) {
	is := is.New(t)
	set := start(t, trial.Plan{
		Entries: 3, Prefills: 2, Decodes: 2, AddressTTL: 500, Linger: 1200,
		Speed: fake.Speed{PrefillRate: 1000, StepTime: 1},
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	waitForPeers(ctx, t, set)
	const callers = 6
	var wait sync.WaitGroup
	var served, failed atomic.Int64
	var over atomic.Bool
	for i := range callers {
		f := set.DiscoveryClient(i % 3)
		f.HTTP = &http.Client{Transport: &http.Transport{}}
		defer f.HTTP.CloseIdleConnections()
		wait.Go(func() {
			for !over.Load() {
				r, err := request(ctx, f)
				if err != nil || !complete(r) {
					failed.Add(1)
					t.Log(err)
					return
				}
				served.Add(1)
			}
		})
	}
	is.NoErr(trial.WaitUntil(ctx, func() bool { return served.Load() >= callers }))
	stop(t, set)
	before := served.Load()
	is.NoErr(trial.WaitUntil(ctx, func() bool { return served.Load() >= before+callers || failed.Load() > 0 }))
	over.Store(true)
	wait.Wait()
	t.Logf("served %d, failed %d", served.Load(), failed.Load())
	is.Equal(failed.Load(), int64(0))
}

// request sends a completion request to an entry that f selects.
func request(ctx context.Context, f *trial.DiscoveryClient) (*trial.Reply, error) {
	c, err := f.Client(ctx)
	if err != nil {
		return nil, err
	}
	return c.Complete(ctx, ask, nil)
}
