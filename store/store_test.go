package store_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pltsim"
	"lacewinghook.example/lacewinghook/store"
)

// startPlatform runs a fake platform and returns it with a client.
func startPlatform(t *testing.T, limits pltsim.Limits) (*pltsim.Platform, *store.Client) {
	p := &pltsim.Platform{Limits: limits}
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	return p, &store.Client{Base: srv.URL, HTTP: srv.Client()}
}

// waitFor waits up to 5 seconds for cond, since a delayed write may still land.
func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for !cond() {
		if (clock.Clock{}).Sleep(ctx, 5) != nil {
			t.Fatal("the condition did not become true")
		}
	}
}

// TestTableContract checks the guarantees of the table that the router relies on:
// atomic commits, and revisions that rise even if a row is deleted in between.
func TestTableContract(t *testing.T) {
	is := is.New(t)
	_, c := startPlatform(t, pltsim.Limits{})
	ctx := context.Background()
	first, err := c.Commit(ctx, core.Write{Key: "a/1", Value: []byte("one")}, core.Write{Key: "a/2", Value: []byte("two")})
	is.NoErr(err)
	is.True(first.OK())
	is.Equal(len(first.Revisions), 2)
	// One conflicting write aborts the whole transaction.
	done, err := c.Commit(ctx, core.Write{Key: "a/3", Value: []byte("three")}, core.Write{Key: "a/1", Value: []byte("new")})
	is.NoErr(err)
	is.Equal(len(done.Conflicts), 1)
	is.Equal(done.Conflicts[0], core.Row{Key: "a/1", Value: []byte("one"), Revision: first.Revisions[0]})
	rows, err := c.Read(ctx, "a/1", "a/3")
	is.NoErr(err)
	is.Equal(len(rows), 1)
	// A row that is deleted and written again gets a higher revision.
	_, err = c.Commit(ctx, core.Write{Key: "a/1", Expect: first.Revisions[0], Delete: true})
	is.NoErr(err)
	again, err := c.Commit(ctx, core.Write{Key: "a/1", Value: []byte("one")})
	is.NoErr(err)
	is.True(again.Revisions[0] > first.Revisions[0])
	rows, err = c.List(ctx, "a/", "a/1", 10)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Key, "a/2")
	_, err = c.Commit(ctx, core.Write{Key: ""})
	is.Equal(codes.From(err).Run, codes.NotRun)
}

// TestObjectAndListContract checks the object store, including keys with slashes,
// and the empty instance list.
func TestObjectAndListContract(t *testing.T) {
	is := is.New(t)
	_, c := startPlatform(t, pltsim.Limits{})
	ctx := context.Background()
	_, err := c.Get(ctx, "once/a/b")
	is.True(codes.Has(err, codes.NotFound))
	body := bytes.Repeat([]byte("x"), 1<<20)
	is.NoErr(c.Put(ctx, "once/a/b", body))
	got, err := c.Get(ctx, "once/a/b")
	is.NoErr(err)
	is.True(bytes.Equal(got, body))
	l, err := c.Listing(ctx)
	is.NoErr(err)
	is.Equal(len(l.Instances), 0)
}

// TestFaults checks that an error of a write with Run NotRun is returned only if
// the write did not and will not land.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		kind  pltsim.FaultKind
		delay clock.Millis
		run   codes.Run
		lands bool
	}{
		{pltsim.Unavailable, 0, codes.NotRun, false},
		{pltsim.RequestLost, 0, codes.Unknown, false},
		{pltsim.AnswerLost, 0, codes.Unknown, true},
		{pltsim.AppliedLate, 100, codes.Unknown, true},
		{pltsim.AnswerDelayed, 400, codes.Unknown, true},
		{pltsim.RequestDelayed, 400, codes.Unknown, true},
	} {
		t.Run(string(tc.kind), func(t *testing.T) {
			is := is.New(t)
			p, c := startPlatform(t, pltsim.Limits{})
			c.Timeout = 200
			ctx := context.Background()
			for _, op := range []pltsim.Op{pltsim.OpRead, pltsim.OpCommit, pltsim.OpObject, pltsim.OpList} {
				p.Faults.Add(pltsim.Fault{Kind: tc.kind, Op: op, Count: 1, Delay: tc.delay})
			}
			_, err := c.Commit(ctx, core.Write{Key: "k", Value: []byte("v")})
			is.True(codes.Has(err, codes.PlatformDown))
			is.Equal(codes.From(err).Run, tc.run)
			_, err = c.Read(ctx, "k")
			is.True(codes.Has(err, codes.PlatformDown))
			is.True(codes.Has(c.Put(ctx, "k", nil), codes.PlatformDown))
			_, err = c.Listing(ctx)
			is.True(codes.Has(err, codes.PlatformDown))
			waitFor(t, func() bool { return len(p.Table.Read([]string{"k"})) == 1 || !tc.lands })
			is.Equal(len(p.Table.Read([]string{"k"})) == 1, tc.lands)
		})
	}
	t.Run("no listener", func(t *testing.T) {
		is := is.New(t)
		srv := httptest.NewServer(nil)
		srv.Close()
		_, err := (&store.Client{Base: srv.URL}).Commit(context.Background(), core.Write{Key: "k"})
		is.Equal(codes.From(err).Run, codes.NotRun)
	})
}

// TestRates checks the rate limits of the fake platform by the total time of
// concurrent calls.
func TestRates(t *testing.T) {
	is := is.New(t)
	_, c := startPlatform(t, pltsim.Limits{WritesPerSecond: 100, WeightBytesPerMilli: 100, WeightFileBytes: 10_000})
	ctx := context.Background()
	begin := clock.Clock{}.Now()
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() { _, _ = c.Commit(ctx, core.Write{Key: fmt.Sprint("k", i)}) })
	}
	wg.Wait()
	is.True(clock.Clock{}.Now()-begin >= 290) // 30 beyond the first 10, at 100 a second
	begin = clock.Clock{}.Now()
	for range 2 {
		wg.Go(func() {
			resp, err := c.HTTP.Get(c.Base + "/v1/weights/verse")
			if err != nil {
				return
			}
			defer resp.Body.Close()
			var body bytes.Buffer
			n, _ := body.ReadFrom(resp.Body)
			if n != 10_000 || resp.StatusCode != http.StatusOK {
				t.Errorf("%d bytes, status %d", n, resp.StatusCode)
			}
		})
	}
	wg.Wait()
	is.True(clock.Clock{}.Now()-begin >= 140) // 20,000 bytes, 5,000 of them at once
}

// TestStatusOutOfRange guards against a commit that counts as done because its answer has a
// status below those of final answers.
func TestStatusOutOfRange(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				is.NoErr(err)
				defer conn.Close()
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s x\r\nContent-Length: 2\r\n\r\n{}", status)
			}))
			defer srv.Close()
			_, err := (&store.Client{Base: srv.URL}).Commit(context.Background(), core.Write{Key: "a"})
			is.True(codes.Has(err, codes.PlatformDown))
			is.Equal(codes.From(err).Run, codes.Unknown)
		})
	}
}
