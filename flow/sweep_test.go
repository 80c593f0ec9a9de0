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
	"lacewinghook.example/lacewinghook/procs"
	"lacewinghook.example/lacewinghook/trial"
)

// sweepWithin bounds how long the work of an entry that is gone may stay on
// the engines: 5 s of failed heartbeats that follow a look of the platform's
// list, a round of the sweep, its grace, and a margin for a busy machine.
const sweepWithin = 15 * clock.Second

// long is an answer that outlasts the sweep, at 5 ms a token.
var long = trial.Ask{Model: trial.Model, Prompt: "long", MaxTokens: 3600, Stream: true}

// entryKilled kills an entry and looks for what it left behind.
func entryKilled(t *testing.T) {
	s := start(t, trial.Plan{Entries: 3, Prefills: 1, Decodes: 1, Speed: fake.Speed{Step: 5, Prefill: 100}})
	lives := make(chan *trial.Reply, 1)
	go func() {
		r, _ := s.Client(1).Complete(t.Context(), long, nil)
		lives <- r
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
	within(t, freeWithin, "both run", func() bool { return s.Decodes[0].Sequences() == 2 })
	s.Entries[0].Kill()
	<-ended
	gone := clock.Clock{}.Now()
	within(t, sweepWithin, "the orphan is gone", func() bool { return s.Decodes[0].Sequences() == 1 })
	t.Logf("swept %d ms after the death", clock.Clock{}.Now()-gone)
	is.New(t).Equal((<-lives).Text, strings.Join(fake.Answer(long.Prompt, long.MaxTokens), ""))
}

// entryFrozen stops an entry past the death limit and wakes it. Its caller
// gets the whole answer, or an open failure, and nothing stays held.
func entryFrozen(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	dir := t.TempDir()
	is.NoErr(procs.Build(ctx, dir))
	p, err := procs.Start(ctx, dir, 3, nil)
	is.NoErr(err)
	t.Cleanup(p.Stop)
	type result struct {
		r   *trial.Reply
		err error
	}
	ends := [2]chan result{make(chan result, 1), make(chan result, 1)}
	for i, end := range ends {
		go func() {
			r, err := p.Client(i).Complete(ctx, long, nil)
			end <- result{r, err}
		}()
	}
	within(t, freeWithin, "both run", func() bool { return tally(ctx, p).Held == 2*pieces })
	gone := clock.Clock{}.Now()
	is.NoErr(p.Entries[0].Signal(syscall.SIGSTOP))
	within(t, sweepWithin, "the orphan is gone", func() bool { return tally(ctx, p).Held == pieces })
	t.Logf("swept %d ms after the freeze", clock.Clock{}.Now()-gone)
	is.NoErr(p.Entries[0].Signal(syscall.SIGCONT))
	want := strings.Join(fake.Answer(long.Prompt, long.MaxTokens), "")
	live, woken := <-ends[1], <-ends[0]
	is.NoErr(live.err) // the live owner's request went on
	is.Equal(live.r.Text, want)
	is.True(woken.err != nil || woken.r.Text == want)
	within(t, sweepWithin, "all memory is free", func() bool { return tally(ctx, p).Held == 0 })
}

// engineFrozen stops the decode engine while a caller cuts, and wakes it.
func engineFrozen(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(procs.Build(t.Context(), dir))
	p, err := procs.Start(t.Context(), dir, 1, nil)
	is.NoErr(err)
	t.Cleanup(p.Stop)
	ctx, cut := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = p.Client(0).Complete(ctx, long, nil)
	}()
	within(t, freeWithin, "it runs", func() bool { return tally(t.Context(), p).Held == pieces })
	engine := p.Other("decode-1")
	is.NoErr(engine.Signal(syscall.SIGSTOP))
	cut()
	within(t, freeWithin, "the caller has left", func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
	within(t, sweepWithin, "a try of the cancel has failed", func() bool {
		return strings.Contains(metrics(t.Context(), p.Admin(0)), "lacewinghook_cancel_retries_total")
	})
	is.NoErr(engine.Signal(syscall.SIGCONT))
	within(t, freeWithin, "all memory is free", func() bool { return tally(t.Context(), p).Held == 0 })
}

// pieces is the memory that one long answer holds.
const pieces = 4

// askTime bounds one question of a test to a process.
const askTime = 2 * clock.Second

// metrics reads an entry's counters.
func metrics(ctx context.Context, admin string) string {
	ctx, done := context.WithTimeout(ctx, askTime.Std())
	defer done()
	c := trial.Client{Addr: admin, Key: trial.Token}
	resp, err := c.Do(ctx, http.MethodGet, "/metrics", nil, nil)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return string(data)
}

// tally reads the decode engine's counters.
func tally(ctx context.Context, p *procs.Set) fake.Tally {
	ctx, done := context.WithTimeout(ctx, askTime.Std())
	defer done()
	var n fake.Tally
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Decode()+"/fake/count", nil)
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
