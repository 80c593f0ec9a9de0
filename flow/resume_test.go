package flow_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/access"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/trial"
)

// slowSet starts a set whose answers last long enough to be resumed at another entry.
func slowSet(t *testing.T, decodes int) *trial.Cluster {
	return start(t, trial.Plan{
		Entries: 3, Prefills: 1, Decodes: decodes, Speed: fake.Speed{StepTime: 20, PrefillRate: 100},
		EditDocument: func(d *core.Document) {
			d.Workspaces = append(d.Workspaces, core.Workspace{
				Name: "other", Profile: "exact", Keys: []string{access.Digest("other-key")},
			})
		},
	})
}

// startStream reads the first tokens of an answer from entry 0. The caller's
// connection stays open; ended receives its final error.
func startStream(t *testing.T, s *trial.Cluster) (r *trial.Reply, ended chan error) {
	t.Helper()
	first := make(chan trial.Reply, 1)
	ended = make(chan error, 1)
	go func() {
		_, err := s.Client(0).Complete(t.Context(), newAsk(true), func(r *trial.Reply) {
			if len(r.Tokens) == 5 {
				first <- trial.Reply{ID: r.ID, ResumeToken: r.ResumeToken, Text: r.Text, Tokens: append([]string(nil), r.Tokens...)}
			}
		})
		ended <- err
	}()
	got := <-first
	return &got, ended
}

// resumedAfterKill kills the entry in the middle of an answer and resumes the answer
// at another entry.
func resumedAfterKill(t *testing.T) {
	s := slowSet(t, 2)
	r, ended := startStream(t, s)
	s.Entries[0].Kill()
	is.New(t).True(<-ended != nil)
	r, err := s.Client(1).Resume(t.Context(), r, nil)
	requireWhole(t, r, err)
	requireWithin(t, freeWithin, "all memory is free", func() bool { return heldPieces(s) == 0 })
}

// resumedAtTwo resumes a running answer at two entries at once. One of them succeeds;
// the other and the original stream must end as superseded.
func resumedAtTwo(t *testing.T) {
	is := is.New(t)
	s := slowSet(t, 1)
	r, ended := startStream(t, s)
	errs := make(chan error, 2)
	for i := range 2 {
		go func() {
			resumed := *r
			got, err := s.Client(1+i).Resume(t.Context(), &resumed, nil)
			if err == nil {
				requireWhole(t, got, err)
			}
			errs <- err
		}()
	}
	won := 0
	for range 2 {
		if err := <-errs; err == nil {
			won++
		} else {
			is.True(codes.Has(err, codes.Superseded))
		}
	}
	is.Equal(won, 1)
	is.True(codes.Has(<-ended, codes.Superseded)) // the first entry's stream ended without a cancel
}

// disconnectAfterResume disconnects the caller of a resumed answer, which must cancel
// the request.
func disconnectAfterResume(t *testing.T) {
	s := slowSet(t, 1)
	r, ended := startStream(t, s)
	s.Entries[0].Kill()
	<-ended
	ctx, disconnect := context.WithCancel(t.Context())
	_, err := s.Client(1).Resume(ctx, r, func(r *trial.Reply) {
		if len(r.Tokens) == 8 {
			disconnect()
		}
	})
	is.New(t).True(err != nil)
	requireWithin(t, freeWithin, "all memory is free", func() bool { return heldPieces(s) == 0 })
	is.New(t).True(s.Decodes[0].Counters.Tokens.Load() < tokens)
}

// TestResumeRefuses checks the errors for invalid resume tokens and offsets, and
// for a request that its engine lost in a crash.
func TestResumeRefuses(t *testing.T) {
	s := slowSet(t, 1)
	r, ended := startStream(t, s)
	s.Entries[0].Kill()
	<-ended
	s.Decodes[0].Crash()
	for _, c := range []struct {
		name string
		edit func(c *trial.Client, r *trial.Reply)
		code codes.Code
		run  codes.Run
	}{
		{"other workspace", func(c *trial.Client, _ *trial.Reply) { c.Key = "other-key" }, codes.BadToken, codes.NotRun},
		{"other request", func(_ *trial.Client, r *trial.Reply) { r.ID = "a.1.1" }, codes.BadToken, codes.NotRun},
		{"forged token", func(_ *trial.Client, r *trial.Reply) { r.ResumeToken = "e30." + r.ResumeToken }, codes.BadToken, codes.NotRun},
		{"offset past the end", func(_ *trial.Client, r *trial.Reply) { r.Tokens = make([]string, tokens+1) }, codes.BadRequest, codes.NotRun},
		{"engine lost the stream", func(*trial.Client, *trial.Reply) {}, codes.UpstreamLost, codes.Ran},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client, resumed := s.Client(1), *r
			c.edit(client, &resumed)
			_, err := client.Resume(t.Context(), &resumed, nil)
			is.Equal(codes.From(err).Code, c.code)
			is.Equal(codes.From(err).Run, c.run)
		})
	}
}
