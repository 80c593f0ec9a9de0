package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/access"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/member"
	"lacewinghook.example/lacewinghook/osproc"
	"lacewinghook.example/lacewinghook/pubdoc"
	"lacewinghook.example/lacewinghook/store"
	"lacewinghook.example/lacewinghook/trial"
)

const (
	testTimeout  = 90 * time.Second
	testPrompt   = "A verse for the funeral of a neighbour."
	answerTokens = 100
)

// startProcesses builds the programs and starts n entries as processes, with a
// platform and upstreams.
func startProcesses(t *testing.T, ctx context.Context, n int) *osproc.Cluster {
	t.Helper()
	dir := t.TempDir()
	if err := osproc.Build(ctx, dir); err != nil {
		t.Fatal(err)
	}
	p, err := osproc.Start(ctx, dir, n, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p
}

// TestPromise checks promises with entries that run as separate processes.
func TestPromise(t *testing.T) {
	t.Run("a planned stop cuts nothing", func(t *testing.T) { t.Run("SIGTERM of a process under load", sigtermUnderLoad) })
	t.Run("an accepted document never reverts", func(t *testing.T) { t.Run("a suspended process resumes", suspendedProcessResumes) })
}

// sigtermUnderLoad sends SIGTERM to one of two entries while callers stream from
// both, and a second time while it is stopping. The entry must complete all
// streams in flight, and no stream may fail.
func sigtermUnderLoad(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	p := startProcesses(t, ctx, 2)
	is.NoErr(trial.WaitUntil(ctx, func() bool {
		addrs, err := p.Client(1).Addresses(ctx)
		return err == nil && len(addrs) == 2
	}))
	var wait sync.WaitGroup
	var stopped atomic.Bool
	var served, failed atomic.Int64
	for i := range 4 {
		f := p.DiscoveryClient(i % 2)
		f.HTTP = &http.Client{Transport: &http.Transport{}}
		wait.Go(func() {
			for !stopped.Load() && failed.Load() == 0 {
				if err := checkStream(ctx, f); err != nil {
					failed.Add(1)
					t.Log(err)
				}
				served.Add(1)
			}
		})
	}
	is.NoErr(trial.WaitUntil(ctx, func() bool { return served.Load() > 4 }))
	is.NoErr(p.Entries[0].Signal(syscall.SIGTERM))
	is.NoErr(trial.WaitUntil(ctx, func() bool { return strings.Contains(p.Log(p.Entries[0].Name), "entry: leaving") }))
	is.NoErr(p.Entries[0].Signal(syscall.SIGTERM))
	if err := p.Entries[0].Wait(ctx); err != nil {
		t.Log(p.Log(p.Entries[0].Name))
		is.NoErr(err)
	}
	stopped.Store(true)
	wait.Wait()
	t.Logf("served %d, failed %d", served.Load(), failed.Load())
	is.Equal(failed.Load(), int64(0))
	is.True(strings.Contains(p.Log(p.Entries[0].Name), "entry: waits for what is in flight"))
	is.True(!strings.Contains(p.Log(p.Entries[0].Name), "requests were cut"))
}

// checkStream streams an answer and checks that it is complete.
func checkStream(ctx context.Context, f *trial.DiscoveryClient) error {
	c, err := f.Client(ctx)
	if err != nil {
		return err
	}
	r, err := c.Complete(ctx, trial.Request{Model: trial.Model, Prompt: testPrompt, MaxTokens: answerTokens, Stream: true}, nil)
	if err == nil && r.Text != strings.Join(fake.Answer(testPrompt, answerTokens), "") {
		return errors.New("the answer is not whole")
	}
	return err
}

// suspendedProcessResumes suspends an entry with SIGSTOP, publishes a document
// without the workspace's key, and resumes the entry more than
// member.CutOffAfter later. It must reject the old key, although its own document
// still contains it.
func suspendedProcessResumes(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	p := startProcesses(t, ctx, 2)
	is.NoErr(p.Entries[0].Signal(syscall.SIGSTOP))
	suspendedAt := clock.Clock{}.Now()
	publisher := &pubdoc.Publisher{Table: &store.Client{Base: p.PlatformURL()}}
	doc, err := publisher.Current(ctx)
	is.NoErr(err)
	doc.Workspaces = []core.Workspace{{Name: trial.Workspace, Profile: "exact", Keys: []string{access.Digest("another key")}}}
	_, err = publisher.Publish(ctx, pubdoc.PublishRequest{Expected: doc.Version, Doc: *doc})
	is.NoErr(err)
	is.NoErr(trial.WaitUntil(ctx, func() bool { return callLookup(ctx, p.Client(1)) != nil }))
	inForce := clock.Clock{}.Now() - suspendedAt
	is.True(inForce <= 12*clock.Second)
	is.NoErr(trial.WaitUntil(ctx, func() bool { return clock.Clock{}.Now()-suspendedAt > member.CutOffAfter+clock.Second }))
	results := make(chan error, 8)
	for range cap(results) {
		// These calls wait in the socket buffers of the suspended process.
		go func() { results <- callLookup(ctx, p.Client(0)) }()
	}
	is.NoErr(p.Entries[0].Signal(syscall.SIGCONT))
	for range cap(results) {
		is.True(<-results != nil)
	}
}

// callLookup makes one call of the plain service with the original key.
func callLookup(ctx context.Context, c *trial.Client) error {
	_, err := c.CallService(ctx, http.MethodGet, "/stock/burr", "", nil)
	return err
}
