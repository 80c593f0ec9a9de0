package flow

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/sched"
)

// Engines makes the calls to model engines.
type Engines interface {
	// Prefill computes the KV cache of the prompt and returns its export.
	Prefill(ctx context.Context, up core.Upstream, try core.Try) (core.Export, error)
	// Decode calls onTransferred once the engine has fetched the KV cache, and
	// then onToken for every token and for the end marker.
	Decode(ctx context.Context, up core.Upstream, try core.Try, x core.Export, onTransferred func(), onToken func(core.Token) error) error
	// Resume attaches to a stream that already runs at the engine and calls
	// onToken as Decode does, starting with the token at offset.
	Resume(ctx context.Context, up core.Upstream, id core.ID, attempt core.Attempt, offset int, onToken func(core.Token) error) error
}

// Canceller retries cancels until the upstream confirms them.
type Canceller interface {
	// Add enqueues a cancel. It must not block.
	Add(c core.Cancel)
}

// Placer selects the upstreams of an attempt and admits it when they have
// capacity.
type Placer interface {
	// Place waits for capacity and reserves it until Release.
	Place(ctx context.Context, q sched.Query) (*sched.Placement, error)
	// PrefillDone reports the end of the prefill and its duration.
	PrefillDone(p *sched.Placement, took clock.Millis, err error)
	// FirstToken reports the time from the decode call to the first token.
	FirstToken(p *sched.Placement, took clock.Millis)
	// Release frees what Place reserved; err is the outcome of the attempt.
	Release(p *sched.Placement, err error)
}

// Budget is the retry budget shared by all requests. It bounds the prefills
// that are run again by retries and hedges.
type Budget interface {
	// Spend takes one retry from the budget and reports whether one was left.
	Spend() bool
	// Earn records a successful request.
	Earn()
}

// Stragglers detects upstreams that are currently slow.
type Stragglers interface {
	// IsStraggler reports whether the upstream is a straggler.
	IsStraggler(name string) bool
}

// Quarantine detects requests that crash upstreams and quarantines them.
type Quarantine interface {
	// Quarantined reports whether requests with the digest are quarantined.
	Quarantined(digest uint64) bool
	// Isolate waits, if the digest is a suspect, until no other suspect runs at
	// the upstreams, so that a crash has only one possible cause. It blocks
	// other suspects there until leave is called.
	Isolate(ctx context.Context, digest uint64, upstreams ...string) (leave func(), err error)
	// Boot returns the last known boot ID of the upstream.
	Boot(upstream string) string
	// CheckCrashAndWait checks whether the upstream, whose call for the digest
	// failed, has crashed, and if so records the digest as a suspect. boot is
	// the upstream's boot ID at the time of the call, and admitted the time
	// before Isolate was called for this run. If the digest becomes
	// quarantined, it waits until all entries reject it.
	CheckCrashAndWait(ctx context.Context, up core.Upstream, boot string, admitted clock.Millis, digest uint64)
}

// Sink receives the answer to one request.
type Sink interface {
	// Token takes the next token or the end marker. An error ends the request
	// as [codes.CallerGone].
	Token(t core.Token) error
}

// Flow runs requests. Engines, Placer and Cancels are required. Without a Budget
// only the profile bounds retries, without Stragglers no request is hedged, and
// without Quarantine, none is quarantined.
type Flow struct {
	Engines    Engines
	Placer     Placer
	Cancels    Canceller
	Budget     Budget
	Stragglers Stragglers
	Quarantine Quarantine
	// Upstreams finds the upstream of a resumed request; if nil, Resume fails.
	Upstreams Upstreams
	Clock     clock.Clock
	Meter     *meter.Registry
}

// defaultTimeout applies to resumed requests and those whose profile sets no timeout.
const defaultTimeout = 2 * clock.Minute

// Run executes one request and writes its answer to sink.
func (f *Flow) Run(ctx context.Context, r *core.Request, sink Sink) error {
	if f.Quarantine != nil && f.Quarantine.Quarantined(r.Digest) {
		return codes.New(codes.Quarantined, "request %s", r.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout(r).Duration())
	defer cancel()
	e := &execution{flow: f, request: r, sink: sink}
	err := e.run(ctx)
	if err == nil {
		f.earnBudget()
		return nil
	}
	return e.callerError(ctx, err)
}

// timeout returns the time until the request's deadline, at most the timeout of
// its profile.
func (f *Flow) timeout(r *core.Request) clock.Millis {
	timeout := r.Profile.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if r.Deadline != 0 {
		timeout = min(timeout, r.Deadline-f.Clock.Now())
	}
	return timeout
}

// spendBudget takes one retry from the budget and reports whether it may be made.
func (f *Flow) spendBudget() bool { return f.Budget == nil || f.Budget.Spend() }

// earnBudget records a successful request in the budget.
func (f *Flow) earnBudget() {
	if f.Budget != nil {
		f.Budget.Earn()
	}
}
