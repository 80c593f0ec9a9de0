package flow_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/osproc"
	"lacewinghook.example/lacewinghook/trial"
)

// sweepWithin bounds how long the work of a dead entry may stay on the engines: 5 s
// of failed heartbeats, which begin after a read of the platform's list, one sweep
// interval, its grace period, and a margin for a busy machine.
const sweepWithin = 15 * clock.Second

// long is a request whose answer takes longer than sweepWithin, at 5 ms per token.
var long = trial.Request{Model: trial.Model, Prompt: "long", MaxTokens: 3600, Stream: true}

// entryKilled kills an entry and checks that its work on the engines is swept and
// the work of another entry is not.
func entryKilled(t *testing.T) {
	s := start(t, trial.Plan{Entries: 3, Prefills: 1, Decodes: 1, Speed: fake.Speed{StepTime: 5, PrefillRate: 100}})
	surviving := make(chan *trial.Reply, 1)
	go func() {
		r, _ := s.Client(1).Complete(t.Context(), long, nil)
		surviving <- r
	}()
	began := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = s.Client(0).Complete(t.Context(), long, func(r *trial.Reply) {
			if len(r.Tokens) == 1 {
				close(began)
			}
		})
	}()
	<-began
	requireWithin(t, freeWithin, "both run", func() bool { return s.Decodes[0].Sequences() == 2 })
	s.Entries[0].Kill()
	<-ended
	killed := clock.Clock{}.Now()
	requireWithin(t, sweepWithin, "the orphaned work is cancelled", func() bool { return s.Decodes[0].Sequences() == 1 })
	t.Logf("swept %d ms after the kill", clock.Clock{}.Now()-killed)
	is.New(t).Equal((<-surviving).Text, strings.Join(fake.Answer(long.Prompt, long.MaxTokens), ""))
}

// entryFrozen stops an entry's process for longer than the failure detection takes
// and resumes it. Its caller must get the complete answer or an error, and no memory
// may stay held.
func entryFrozen(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	dir := t.TempDir()
	is.NoErr(osproc.Build(ctx, dir))
	p, err := osproc.Start(ctx, dir, 3, nil)
	is.NoErr(err)
	t.Cleanup(p.Stop)
	type result struct {
		r   *trial.Reply
		err error
	}
	results := [2]chan result{make(chan result, 1), make(chan result, 1)}
	for i, end := range results {
		go func() {
			r, err := p.Client(i).Complete(ctx, long, nil)
			end <- result{r, err}
		}()
	}
	requireWithin(t, freeWithin, "both run", func() bool { return decodeCounters(ctx, p).Held == 2*longPieces })
	frozen := clock.Clock{}.Now()
	is.NoErr(p.Entries[0].Signal(syscall.SIGSTOP))
	requireWithin(t, sweepWithin, "the orphaned work is cancelled", func() bool { return decodeCounters(ctx, p).Held == longPieces })
	t.Logf("swept %d ms after the freeze", clock.Clock{}.Now()-frozen)
	is.NoErr(p.Entries[0].Signal(syscall.SIGCONT))
	want := strings.Join(fake.Answer(long.Prompt, long.MaxTokens), "")
	surviving, resumed := <-results[1], <-results[0]
	is.NoErr(surviving.err) // the live entry's request was not swept
	is.Equal(surviving.r.Text, want)
	is.True(resumed.err != nil || resumed.r.Text == want)
	requireWithin(t, sweepWithin, "all memory is free", func() bool { return decodeCounters(ctx, p).Held == 0 })
}

// engineFrozen stops the process of the decode engine while a caller disconnects, and
// resumes it. The cancel must be retried until the engine confirms it.
func engineFrozen(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(osproc.Build(t.Context(), dir))
	p, err := osproc.Start(t.Context(), dir, 1, nil)
	is.NoErr(err)
	t.Cleanup(p.Stop)
	ctx, disconnect := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = p.Client(0).Complete(ctx, long, nil)
	}()
	requireWithin(t, freeWithin, "it runs", func() bool { return decodeCounters(t.Context(), p).Held == longPieces })
	engine := p.Simulator("decode-1")
	is.NoErr(engine.Signal(syscall.SIGSTOP))
	disconnect()
	requireWithin(t, freeWithin, "the caller has disconnected", func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
	requireWithin(t, sweepWithin, "one cancel has failed", func() bool {
		return strings.Contains(readMetrics(t.Context(), p.AdminAddr(0)), "lacewinghook_cancel_retries_total")
	})
	is.NoErr(engine.Signal(syscall.SIGCONT))
	requireWithin(t, freeWithin, "all memory is free", func() bool { return decodeCounters(t.Context(), p).Held == 0 })
}

// longPieces is the number of KV cache pieces that the answer to long holds.
const longPieces = 4

// callTimeout bounds one call of a test to a process.
const callTimeout = 2 * clock.Second

// readMetrics returns the metrics page of an entry, or "" after an error.
func readMetrics(ctx context.Context, admin string) string {
	ctx, done := context.WithTimeout(ctx, callTimeout.Duration())
	defer done()
	c := trial.Client{Addr: admin, Key: trial.OperatorToken}
	resp, err := c.Do(ctx, http.MethodGet, "/metrics", nil, nil)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return string(data)
}

// decodeCounters returns the counters of the decode engine, zero after an error.
func decodeCounters(ctx context.Context, p *osproc.Cluster) fake.CounterValues {
	ctx, done := context.WithTimeout(ctx, callTimeout.Duration())
	defer done()
	var n fake.CounterValues
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.DecodeAddr()+"/fake/count", nil)
	if err != nil {
		return n
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return n
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&n)
	return n
}
