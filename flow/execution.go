package flow

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/limit"
	"lacewinghook.example/lacewinghook/meter"
)

// execution is the state of one request while [Flow.Run] or [Flow.Resume] runs it.
type execution struct {
	flow    *Flow
	request *core.Request
	sink    Sink

	mu sync.Mutex
	// lastAttempt is the highest attempt number in use.
	lastAttempt core.Attempt
	// failed lists the upstreams that failed this request.
	failed []string
	// branches are those of the current attempt. winner is the one whose tokens
	// go to the caller, nil before the first token.
	branches []*branch
	winner   *branch
	// mayHaveRun is set once an upstream may have run part of the request, and
	// callerGone once the sink has returned an error.
	mayHaveRun, callerGone bool
	// prior is the text sent to the caller, and sent its number of tokens. A new
	// attempt continues after them.
	prior []byte
	sent  int
}

var errBudgetSpent = errors.New("the retry budget is exhausted")

// run retries the request until an attempt succeeds or an error is final.
func (e *execution) run(ctx context.Context) error {
	for n := 0; ; n++ {
		err := e.attempt(ctx)
		if err == nil {
			return nil
		}
		if err := e.prepareRetry(ctx, n, err); err != nil {
			return err
		}
	}
}

// attempt makes one attempt, which continues after the last token sent.
func (e *execution) attempt(ctx context.Context) error {
	e.branches, e.winner = nil, nil
	if e.flow.Stragglers != nil && e.request.Profile.Hedge {
		return e.runHedged(ctx)
	}
	return e.newBranch().run(ctx)
}

// prepareRetry decides whether the request is retried after err, its n-th failure
// counted from zero. It backs off and returns nil if so, and else returns the error
// that ends the request.
func (e *execution) prepareRetry(ctx context.Context, n int, err error) error {
	if ctx.Err() != nil || n >= e.request.Profile.Retries || !retryable(err) || e.attemptsExhausted() {
		return err
	}
	if e.flow.Quarantine != nil && e.flow.Quarantine.Quarantined(e.request.Digest) {
		return codes.Wrap(codes.Quarantined, err, "request %s", e.request.ID)
	}
	if !e.flow.spendBudget() {
		return codes.Wrap(codes.BudgetSpent, errors.Join(errBudgetSpent, err), "request %s", e.request.ID)
	}
	e.flow.Meter.CountRetry(meter.ReasonOf(codes.From(err).Code))
	return e.flow.backOff(ctx, n)
}

// retryable reports whether another attempt may succeed after err.
func retryable(err error) bool {
	switch codes.From(err).Code {
	case codes.UpstreamLost, codes.UpstreamRefused, codes.UpstreamTimeout, codes.WrongAnswer,
		codes.TransferFailed, codes.ExportExpired, codes.NotFound:
		return true
	}
	return false
}

// backOff sleeps before the n-th retry, counted from zero.
func (f *Flow) backOff(ctx context.Context, n int) error {
	return f.Clock.Sleep(ctx, limit.Backoff{}.Delay(n+1, rand.Uint64()))
}

// nextAttempt returns a new attempt number.
func (e *execution) nextAttempt() core.Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastAttempt++
	return e.lastAttempt
}

// attemptsExhausted reports whether all attempt numbers are used.
func (e *execution) attemptsExhausted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastAttempt.Last()
}

// addFailed records that an upstream failed this request, so that later placements
// avoid it.
func (e *execution) addFailed(up core.Upstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failed = append(e.failed, up.Name)
}

// excluded returns the upstreams to avoid: more and those that failed.
func (e *execution) excluded(more ...string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append(more, e.failed...)
}

// markRun records that an upstream may have run part of the request.
func (e *execution) markRun() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mayHaveRun = true
}

// handOverCancel passes a cancel to the Canceller, which retries it even after
// this request has ended. It does nothing if err proves that nothing runs at the
// upstream or that another entry has taken the request over.
func (e *execution) handOverCancel(up core.Upstream, attempt core.Attempt, err error) {
	if provesNotRun(err) || codes.Has(err, codes.Superseded) {
		return
	}
	e.flow.Cancels.Add(core.Cancel{
		Upstream: up, ID: e.request.ID, Attempt: attempt, Answered: endedByUpstream(err),
	})
}

// provesNotRun reports whether the upstream confirmed by err that nothing runs.
func provesNotRun(err error) bool {
	return codes.Has(err, codes.UpstreamRefused) && codes.From(err).Run == codes.NotRun
}

// endedByUpstream reports whether the upstream itself ended the call with err.
func endedByUpstream(err error) bool {
	switch codes.From(err).Code {
	case codes.UpstreamRefused, codes.TransferFailed, codes.ExportExpired, codes.NotFound:
		return true
	}
	return false
}

// callerError returns the error for the caller. It is marked [codes.NotRun] only
// if no upstream may have run any part of the request.
func (e *execution) callerError(ctx context.Context, err error) *codes.Error {
	out := codes.From(err)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.callerGone:
		out = codes.Wrap(codes.CallerGone, err, "request %s", e.request.ID)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		out = codes.Wrap(codes.DeadlinePast, err, "request %s", e.request.ID)
	}
	if !e.mayHaveRun && out.Run == codes.Unknown && out.Code != codes.Internal {
		return out.WithRun(codes.NotRun)
	}
	if e.mayHaveRun && out.Run == codes.NotRun {
		return out.WithRun(codes.Ran)
	}
	return out
}

// lastBoot returns the last known boot ID of the upstream.
func (e *execution) lastBoot(up core.Upstream) string {
	if e.flow.Quarantine == nil {
		return ""
	}
	return e.flow.Quarantine.Boot(up.Name)
}

// reportFailure reports a failed call to the quarantine if err may come from a crash of
// the upstream. The run counts from its admission, not from the call: a run admitted
// before its digest was a suspect is not isolated from other suspects.
func (b *branch) reportFailure(ctx context.Context, up core.Upstream, boot string, err error) {
	e := b.execution
	if e.flow.Quarantine == nil {
		return
	}
	switch codes.From(err).Code {
	case codes.UpstreamLost, codes.UpstreamRefused, codes.NotFound:
		e.flow.Quarantine.CheckCrashAndWait(ctx, up, boot, b.admittedAt, e.request.Digest)
	}
}
