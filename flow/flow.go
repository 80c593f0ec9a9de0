package flow

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/place"
)

// Engines are the calls of model engines that a request's life needs.
type Engines interface {
	Prefill(ctx context.Context, up core.Upstream, try core.Try) (core.Export, error)
	// Decode calls arrived once the engine holds the KV cache, and then each
	// for every token and the end marker.
	Decode(ctx context.Context, up core.Upstream, try core.Try, x core.Export, arrived func(), each func(core.Token) error) error
	// Resume goes on with a stream that runs at the engine.
	Resume(ctx context.Context, up core.Upstream, id core.ID, attempt core.Attempt, offset int, each func(core.Token) error) error
}

// Canceller takes charge of cancels until they are confirmed. Add must not
// block.
type Canceller interface {
	Add(c core.Cancel)
}

// Placer decides where and when an attempt runs.
type Placer interface {
	Place(ctx context.Context, q place.Query) (*place.Placement, error)
	Prefilled(p *place.Placement, took clock.Millis, err error)
	FirstToken(p *place.Placement, took clock.Millis)
	Release(p *place.Placement, err error)
}

// Budget bounds the prefills that are begun again, over all requests.
type Budget interface {
	// Spend reports whether one more may be begun.
	Spend() bool
	// Earn counts a request that ended well.
	Earn()
}

// Stragglers tells which upstreams are slow at the moment.
type Stragglers interface {
	Slow(name string) bool
}

// Suspects judges requests that were at an upstream when it crashed.
type Suspects interface {
	// Refused reports whether the digest is in quarantine.
	Refused(digest uint64) bool
	// Enter waits, if the digest is a suspect, until no other suspect is at
	// the upstreams, and keeps others from them until leave is called.
	Enter(ctx context.Context, digest uint64, upstreams ...string) (leave func(), err error)
	// Boot returns the last known boot of the upstream.
	Boot(upstream string) string
	// Broke is told that an upstream, which had that boot at the instant
	// began, broke off while it ran the digest, and judges whether it crashed.
	Broke(ctx context.Context, up core.Upstream, boot string, began clock.Millis, digest uint64)
}

// Sink takes the answer to one request.
type Sink interface {
	// Token takes the next token, or the end marker. Its error ends the
	// request: the caller is gone.
	Token(t core.Token) error
}

// Flow runs requests. Engines, Placer and Cancels are needed; a Budget,
// Stragglers or Suspects that is nil bounds, hedges or refuses nothing.
type Flow struct {
	Engines    Engines
	Placer     Placer
	Cancels    Canceller
	Budget     Budget
	Stragglers Stragglers
	Suspects   Suspects
	// Upstreams finds what a resumed request runs at; without it none is
	// resumed.
	Upstreams Upstreams
	Clock     clock.Clock
	Meter     *meter.Set
}

// defaultTimeout bounds a request whose profile sets no timeout.
const defaultTimeout = 2 * clock.Minute

// Run carries out one request and hands its answer to sink.
func (f *Flow) Run(ctx context.Context, r *core.Request, sink Sink) error {
	if f.Suspects != nil && f.Suspects.Refused(r.Digest) {
		return codes.New(codes.Quarantined, "request %s", r.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, f.left(r).Std())
	defer cancel()
	l := &life{flow: f, request: r, sink: sink}
	err := l.run(ctx)
	if err == nil {
		f.earn()
		return nil
	}
	return l.outcome(ctx, err)
}

// left returns how long the request may take.
func (f *Flow) left(r *core.Request) clock.Millis {
	left := r.Profile.Timeout
	if left == 0 {
		left = defaultTimeout
	}
	if r.Deadline != 0 {
		left = min(left, r.Deadline-f.Clock.Now())
	}
	return left
}

func (f *Flow) spend() bool { return f.Budget == nil || f.Budget.Spend() }

func (f *Flow) earn() {
	if f.Budget != nil {
		f.Budget.Earn()
	}
}
