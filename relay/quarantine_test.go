package relay_test

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/relay"
)

// quarantine blocks all requests once blocked is set, and records what it is told.
type quarantine struct {
	blocked atomic.Bool
	// silent is set if checks wait until the request ends, as for an answer of a peer.
	silent   bool
	losses   []relay.Loss
	answered int
	// completed counts the reports of complete answers.
	completed int
}

// Check implements [relay.Quarantine].
func (q *quarantine) Check(ctx context.Context, _ *core.Request) error {
	if q.silent {
		<-ctx.Done()
		return codes.New(codes.PartQuarantined, "unknown")
	}
	if q.blocked.Load() {
		return codes.New(codes.PartQuarantined, "part").WithRetryAfter(3000)
	}
	return nil
}

// Mark implements [relay.Quarantine].
func (q *quarantine) Mark() relay.Mark { return relay.Mark{Parts: 7, Request: 8} }

// ReportLost implements [relay.Quarantine].
func (q *quarantine) ReportLost(l relay.Loss) { q.losses = append(q.losses, l) }

// ReportAnswered implements [relay.Quarantine].
func (q *quarantine) ReportAnswered(*core.Request) { q.answered++ }

// ReportCompleted implements [relay.Quarantine].
func (q *quarantine) ReportCompleted(*core.Request) { q.completed++ }

// TestQuarantineDuringRequest guards against sends of a request whose quarantine begins
// while it is on its way to an engine.
func TestQuarantineDuringRequest(t *testing.T) {
	for name, c := range map[string]struct {
		// begin lets the quarantine begin in a call, and forbidden are calls after it.
		begin     func(u *upstreams, q *quarantine)
		forbidden string
		run       codes.Run
	}{
		"while memory is reserved": {func(u *upstreams, q *quarantine) {
			u.hold = func(core.Upstream) (string, error) { q.blocked.Store(true); return "h", nil }
		}, "prefill", codes.NotRun},
		"in prefill": {func(u *upstreams, q *quarantine) {
			u.prefill = func(core.Upstream) (core.Export, error) {
				q.blocked.Store(true)
				return core.Export{Params: json.RawMessage("kv")}, nil
			}
		}, "send", codes.NotRun},
		"before the retry": {func(u *upstreams, q *quarantine) {
			u.send = func(up core.Upstream, _ relay.SendRequest) (relay.Answer, error) {
				q.blocked.Store(true)
				return relay.Answer{}, codes.New(codes.UpstreamLost, "%s", up.Name)
			}
		}, "", codes.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u, q := &upstreams{}, &quarantine{}
			c.begin(u, q)
			r, table := newRelay(u, &budget{retriesLeft: 99})
			reserveMemory(table, 10)
			r.Quarantine = q
			err := r.Run(context.Background(), request(r, core.HostRoute{Resumable: true, Profile: core.Profile{FirstToken: 900, Retries: 1}}), &sink{})
			is.True(err != nil)
			is.Equal(codes.From(err).Run, c.run)
			if c.run == codes.NotRun {
				is.Equal(codes.From(err).Code, codes.PartQuarantined)
				is.True(codes.From(err).RetryAfter >= 3000)
				is.True(!strings.Contains(u.callList(), c.forbidden))
			} else {
				is.Equal(strings.Count(u.callList(), "send"), 1)
				is.Equal(len(q.losses), 1)
				is.Equal(q.losses[0].Mark, relay.Mark{Parts: 7, Request: 8})
				is.True(!q.losses[0].Answered)
			}
			is.Equal(q.answered, 0)
		})
	}
}

// TestStopEndsTheWaitForAPermit guards against a request that gets no answer at the end of a
// stop, or at its deadline, because it waits to learn whether it may be sent.
func TestStopEndsTheWaitForAPermit(t *testing.T) {
	for name, c := range map[string]struct {
		cause error
		want  codes.Code
	}{
		"stop":     {codes.New(codes.Leaving, "the grace period has ended"), codes.Leaving},
		"deadline": {nil, codes.DeadlinePast},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &upstreams{}
			r, table := newRelay(u, &budget{retriesLeft: 99})
			reserveMemory(table, 10)
			r.Quarantine = &quarantine{silent: true}
			req := request(r, core.HostRoute{Profile: core.Profile{FirstToken: 900}})
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			if c.cause != nil {
				cancel(c.cause)
			} else {
				req.Deadline = r.Clock.Now() + 20
			}
			err := codes.From(r.Run(ctx, req, &sink{}))
			is.Equal(err.Code, c.want)
			is.Equal(err.Run, codes.NotRun)
			is.Equal(u.callList(), "")
		})
	}
}

// TestShortAnswerClearsItsParts guards against parts that stay suspects although requests
// with them are answered, since their whole answers are short.
func TestShortAnswerClearsItsParts(t *testing.T) {
	for name, c := range map[string]struct {
		answer relay.Answer
		clears bool
	}{
		"one event": {okAnswer("data: x\n\n"), true},
		"no events": {okAnswer(`{"text":"x"}`), true},
		"a failure": {relay.Answer{Reply: core.Reply{Status: 500, Length: 6}, Body: io.NopCloser(strings.NewReader("failed"))}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u, q := &upstreams{}, &quarantine{}
			r, _ := newRelay(u, &budget{retriesLeft: 99})
			r.Quarantine = q
			u.send = func(core.Upstream, relay.SendRequest) (relay.Answer, error) { return c.answer, nil }
			is.NoErr(r.Run(context.Background(), request(r, core.HostRoute{}), &sink{}))
			is.Equal(q.answered > 0, c.clears)
			is.Equal(q.completed > 0, c.clears)
		})
	}
}

// TestFirstEventsDoNotProveAnEngineSound checks that only an answer that has got on clears
// the parts of its prompt: a request that crashes its engine may get an event out first.
func TestFirstEventsDoNotProveAnEngineSound(t *testing.T) {
	for events, answered := range []bool{1: false, 2: false, 3: true, 4: true} {
		if events == 0 {
			continue
		}
		is := is.New(t)
		u, q := &upstreams{}, &quarantine{}
		r, _ := newRelay(u, &budget{retriesLeft: 99})
		r.Quarantine = q
		u.send = func(core.Upstream, relay.SendRequest) (relay.Answer, error) {
			a := okAnswer(strings.Repeat("data: x\n\n", events))
			a.Body = io.NopCloser(io.MultiReader(a.Body, brokenReader{}))
			return a, nil
		}
		is.True(r.Run(context.Background(), request(r, core.HostRoute{}), &sink{}) != nil)
		is.Equal(len(q.losses), 1)
		is.Equal(q.losses[0].Answered, answered)
		is.Equal(q.answered > 0, answered)
	}
}
