package flow

import (
	"context"
	"math/rand/v2"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
)

// Engines are the calls of model engines that a request's life needs.
type Engines interface {
	Prefill(ctx context.Context, up core.Upstream, try core.Try) (core.Export, error)
	Decode(ctx context.Context, up core.Upstream, try core.Try, x core.Export, each func(core.Token) error) error
	Resume(ctx context.Context, up core.Upstream, id core.ID, attempt core.Attempt, offset int, each func(core.Token) error) error
	Cancel(ctx context.Context, up core.Upstream, id core.ID, attempt core.Attempt) (known bool, err error)
}

// Upstreams is what is known of the upstreams.
type Upstreams interface {
	Candidates(role core.Role, model string, buf []route.Candidate) []route.Candidate
	Get(name string) (pool.State, bool)
	Begin(name string, w pool.Work)
	End(name string, w pool.Work)
}

// Chooser chooses the upstreams of a request.
type Chooser interface {
	Choose(q route.Query, prefills, decodes []route.Candidate) (c route.Choice, ok bool)
}

// Sink takes the answer to one request.
type Sink interface {
	// Token takes the next token, or the end marker. Its error ends the
	// request: the caller is gone.
	Token(t core.Token) error
}

// Flow runs requests. Engines, Upstreams and Chooser are needed.
type Flow struct {
	Engines   Engines
	Upstreams Upstreams
	Chooser   Chooser
	Clock     clock.Clock
	// Centre is the data centre of this entry.
	Centre string
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
	p, err := l.place()
	if err != nil {
		return err
	}
	defer l.flow.release(p)
	x, err := l.flow.Engines.Prefill(ctx, p.prefill, l.try)
	if err != nil {
		l.cancel(ctx, p.prefill)
		l.failed = append(l.failed, p.prefill.Name)
		return err
	}
	if err := l.flow.Engines.Decode(ctx, p.decode, l.try, x, l.token); err != nil {
		l.cancel(ctx, p.prefill)
		l.cancel(ctx, p.decode)
		l.failed = append(l.failed, p.decode.Name)
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

// placement is where one attempt runs.
type placement struct {
	prefill, decode         core.Upstream
	prefillWork, decodeWork pool.Work
}

// place chooses the upstreams and counts the work there.
func (l *life) place() (placement, error) {
	f, r := l.flow, l.request
	prefills := l.candidates(core.Prefill)
	decodes := l.candidates(core.Decode)
	tokens := core.TokenEstimate(r.Prompt) + core.TokenEstimate(l.try.Prior)
	pieces := core.Pieces(tokens + r.MaxTokens)
	q := route.Query{Tokens: tokens, Pieces: pieces, Centre: f.Centre, Draw: rand.Uint64()}
	c, ok := f.Chooser.Choose(q, prefills, decodes)
	if !ok {
		return placement{}, codes.New(codes.NoUpstream, "model %q", r.Model)
	}
	var p placement
	prefill, _ := f.Upstreams.Get(prefills[c.Prefill].Name)
	decode, _ := f.Upstreams.Get(decodes[c.Decode].Name)
	p.prefill, p.decode = prefill.Upstream, decode.Upstream
	p.prefillWork = pool.Work{Requests: 1, Tokens: tokens}
	p.decodeWork = pool.Work{Requests: 1, Pieces: pieces}
	f.Upstreams.Begin(p.prefill.Name, p.prefillWork)
	f.Upstreams.Begin(p.decode.Name, p.decodeWork)
	return p, nil
}

// candidates leaves out the upstreams that failed this request, unless no
// other is left.
func (l *life) candidates(role core.Role) []route.Candidate {
	all := l.flow.Upstreams.Candidates(role, l.request.Model, nil)
	var kept []route.Candidate
	for _, c := range all {
		if !l.hasFailed(c.Name) {
			kept = append(kept, c)
		}
	}
	if len(kept) == 0 {
		return all
	}
	return kept
}

func (l *life) hasFailed(name string) bool {
	for _, f := range l.failed {
		if f == name {
			return true
		}
	}
	return false
}

func (f *Flow) release(p placement) {
	f.Upstreams.End(p.prefill.Name, p.prefillWork)
	f.Upstreams.End(p.decode.Name, p.decodeWork)
}
