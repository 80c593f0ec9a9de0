package flow

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/limit"
	"lacewinghook.example/lacewinghook/meter"
)

// life is one request on its way.
type life struct {
	flow    *Flow
	request *core.Request
	sink    Sink

	mu sync.Mutex
	// last is the attempt that was given out last.
	last core.Attempt
	// failed are the upstreams that failed this request.
	failed []string
	// legs are those of the present attempt, and speaker is the one whose
	// tokens go to the caller.
	legs    []*leg
	speaker *leg
	// ran says that an upstream may have run some of the request, and gone
	// that the sink takes no more.
	ran, gone bool
	// prior is the text that the caller has, and sent the count of its
	// tokens.
	prior []byte
	sent  int
}

var errBudget = errors.New("the retry budget is spent")

// run makes attempts until one brings the answer to its end.
func (l *life) run(ctx context.Context) error {
	for n := 0; ; n++ {
		err := l.attempt(ctx)
		if err == nil {
			return nil
		}
		if err := l.again(ctx, n, err); err != nil {
			return err
		}
	}
}

// attempt tries once, from the token that the caller has last.
func (l *life) attempt(ctx context.Context) error {
	l.legs, l.speaker = nil, nil
	if l.flow.Stragglers != nil && l.request.Profile.Hedge {
		return l.hedged(ctx)
	}
	return l.begin().run(ctx)
}

// again returns nil, after a pause, if the request is tried once more after
// err, and else the error that ends it.
func (l *life) again(ctx context.Context, n int, err error) error {
	if ctx.Err() != nil || n >= l.request.Profile.Retries || !mayRetry(err) || l.exhausted() {
		return err
	}
	if l.flow.Suspects != nil && l.flow.Suspects.Refused(l.request.Digest) {
		return codes.Wrap(codes.Quarantined, err, "request %s", l.request.ID)
	}
	if !l.flow.spend() {
		return codes.Wrap(codes.BudgetSpent, errors.Join(errBudget, err), "request %s", l.request.ID)
	}
	l.flow.Meter.Retried(meter.ReasonOf(codes.From(err).Code))
	return l.flow.pause(ctx, n)
}

// mayRetry reports whether another attempt may do better.
func mayRetry(err error) bool {
	switch codes.From(err).Code {
	case codes.UpstreamLost, codes.UpstreamRefused, codes.UpstreamTimeout, codes.WrongAnswer,
		codes.TransferFailed, codes.ExportExpired, codes.NotFound:
		return true
	}
	return false
}

// pause waits before the attempt after the n-th, counted from zero.
func (f *Flow) pause(ctx context.Context, n int) error {
	return f.Clock.Sleep(ctx, limit.Backoff{}.Delay(n+1, rand.Uint64()))
}

// next gives out an attempt.
func (l *life) next() core.Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	return l.last
}

func (l *life) exhausted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last.Last()
}

// fail notes an upstream that failed this request.
func (l *life) fail(up core.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = append(l.failed, up.Name)
}

func (l *life) avoided(more ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(more, l.failed...)
}

// touched notes that an upstream may run some of the request from here on.
func (l *life) touched() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran = true
}

// cancel gives an upstream's cancel into the hands of the canceller, which
// goes on when this request has ended.
func (l *life) cancel(up core.Upstream, attempt core.Attempt, err error) {
	if neverRan(err) || codes.Has(err, codes.Superseded) {
		return
	}
	l.flow.Cancels.Add(core.Cancel{
		Upstream: up, ID: l.request.ID, Attempt: attempt, Answered: answered(err),
	})
}

// neverRan reports whether err is an upstream's proof that nothing runs there.
func neverRan(err error) bool {
	return codes.Has(err, codes.UpstreamRefused) && codes.From(err).Run == codes.NotRun
}

// answered reports whether the upstream itself ended the call.
func answered(err error) bool {
	switch codes.From(err).Code {
	case codes.UpstreamRefused, codes.TransferFailed, codes.ExportExpired, codes.NotFound:
		return true
	}
	return false
}

// outcome is the error that the caller is told: it says not run only if no
// upstream may have run anything.
func (l *life) outcome(ctx context.Context, err error) *codes.Error {
	e := codes.From(err)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.gone:
		e = codes.Wrap(codes.CallerGone, err, "request %s", l.request.ID)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e = codes.Wrap(codes.DeadlinePast, err, "request %s", l.request.ID)
	}
	if !l.ran && e.Run == codes.Unknown && e.Code != codes.Internal {
		return e.WithRun(codes.NotRun)
	}
	if l.ran && e.Run == codes.NotRun {
		return e.WithRun(codes.Ran)
	}
	return e
}

// boot returns the upstream's last known boot.
func (l *life) boot(up core.Upstream) string {
	if l.flow.Suspects == nil {
		return ""
	}
	return l.flow.Suspects.Boot(up.Name)
}

// broke lets an upstream's break be judged, if it may have been a crash.
func (l *life) broke(ctx context.Context, up core.Upstream, boot string, began clock.Millis, err error) {
	if l.flow.Suspects == nil {
		return
	}
	switch codes.From(err).Code {
	case codes.UpstreamLost, codes.UpstreamRefused, codes.NotFound:
		l.flow.Suspects.Broke(ctx, up, boot, began, l.request.Digest)
	}
}
