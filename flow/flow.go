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
	Decode(ctx context.Context, up core.Upstream, try core.Try, x core.Export, each func(core.Token) error) error
	Resume(ctx context.Context, up core.Upstream, id core.ID, attempt core.Attempt, offset int, each func(core.Token) error) error
	Cancel(ctx context.Context, up core.Upstream, id core.ID, attempt core.Attempt) (known bool, err error)
}

// Placer decides where and when an attempt runs.
type Placer interface {
	Place(ctx context.Context, q place.Query) (*place.Placement, error)
	Prefilled(p *place.Placement, took clock.Millis, err error)
	FirstToken(p *place.Placement, took clock.Millis)
	Release(p *place.Placement, err error)
}

// Sink takes the answer to one request.
type Sink interface {
	// Token takes the next token, or the end marker. Its error ends the
	// request: the caller is gone.
	Token(t core.Token) error
}

// Flow runs requests. Engines and Placer are needed.
type Flow struct {
	Engines Engines
	Placer  Placer
	Clock   clock.Clock
	Meter   *meter.Set
}

// defaultTimeout bounds a request whose profile sets no timeout.
const defaultTimeout = 2 * clock.Minute

// Run carries out one request and hands its answer to sink.
func (f *Flow) Run(ctx context.Context, r *core.Request, sink Sink) error {
	timeout := r.Profile.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Std())
	defer cancel()
	l := &life{flow: f, request: r, sink: sink}
	for {
		err := l.attempt(ctx)
		if err == nil {
			return nil
		}
		if !l.again(ctx, err) {
			return codes.From(err)
		}
	}
}

// life is one request on its way.
type life struct {
	flow    *Flow
	request *core.Request
	sink    Sink
	try     core.Try
	// prior is the text that the caller has, and sent the count of its
	// tokens.
	prior []byte
	sent  int
	// failed are the upstreams that failed this request.
	failed []string
}

// attempt tries once, from the token that the caller has last.
func (l *life) attempt(ctx context.Context) error {
	l.try = core.Try{
		Request: l.request, Attempt: l.try.Attempt + 1,
		Prior: string(l.prior), Sent: l.sent,
	}
	p, err := l.flow.Placer.Place(ctx, place.Query{Try: l.try, Failed: l.failed})
	if err != nil {
		return err
	}
	err = l.at(ctx, p)
	l.flow.Placer.Release(p, err)
	return err
}

// at runs the attempt where it was placed.
func (l *life) at(ctx context.Context, p *place.Placement) error {
	start := l.flow.Clock.Now()
	x, err := l.flow.Engines.Prefill(ctx, p.Prefill, l.try)
	l.flow.Placer.Prefilled(p, l.flow.Clock.Now()-start, err)
	if err != nil {
		l.cancel(ctx, p.Prefill)
		l.failed = append(l.failed, p.Prefill.Name)
		return err
	}
	if err := l.flow.Engines.Decode(ctx, p.Decode, l.try, x, l.token); err != nil {
		l.cancel(ctx, p.Prefill)
		l.cancel(ctx, p.Decode)
		l.failed = append(l.failed, p.Decode.Name)
		return err
	}
	return nil
}

// token hands a token on and keeps what the caller has.
func (l *life) token(t core.Token) error {
	if err := l.sink.Token(t); err != nil {
		return codes.Wrap(codes.CallerGone, err, "caller")
	}
	if t.Finish == "" {
		l.prior = append(l.prior, t.Text...)
		l.sent++
	}
	return nil
}

// cancelTimeout bounds one cancel.
const cancelTimeout = 2 * clock.Second

// cancel frees what an upstream holds for this attempt, whether or not the
// caller's context has ended.
func (l *life) cancel(ctx context.Context, up core.Upstream) {
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout.Std())
	defer done()
	_, _ = l.flow.Engines.Cancel(ctx, up, l.request.ID, l.try.Attempt)
}

// again reports whether the request is tried once more after err.
func (l *life) again(ctx context.Context, err error) bool {
	if ctx.Err() != nil || int(l.try.Attempt) > l.request.Profile.Retries {
		return false
	}
	switch codes.From(err).Code {
	case codes.UpstreamLost, codes.UpstreamRefused, codes.TransferFailed, codes.ExportExpired:
		return true
	}
	return false
}
