package flow

import (
	"context"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/sched"
	"lacewinghook.example/lacewinghook/token"
)

// Upstreams finds upstreams by name.
type Upstreams interface {
	Upstream(name string) (core.Upstream, bool)
}

// Resume takes over a request that another entry started and continues its answer
// from the token at offset. The stream of the previous entry ends with
// [codes.Superseded]. From then on this entry cancels the request if its caller
// disconnects.
func (f *Flow) Resume(ctx context.Context, t token.Resume, offset int, sink Sink) error {
	up, ok := f.upstream(t.Upstream)
	if !ok {
		return codes.New(codes.UpstreamLost, "upstream %s is no longer published", t.Upstream).WithRun(codes.Ran)
	}
	if offset < 0 || offset > t.MaxTokens {
		return codes.New(codes.BadRequest, "offset: want 0 to %d", t.MaxTokens)
	}
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout.Duration())
	defer cancel()
	e := &execution{
		flow: f, sink: sink, lastAttempt: t.Attempt.Takeover(), mayHaveRun: true, sent: offset,
		request: &core.Request{ID: t.ID, Workspace: t.Workspace, Digest: t.Digest},
	}
	if err := e.takeOver(ctx, up, offset); err != nil {
		return e.callerError(ctx, err)
	}
	return nil
}

// upstream returns the upstream with the given name. It finds none if f.Upstreams
// is nil.
func (f *Flow) upstream(name string) (core.Upstream, bool) {
	if f.Upstreams == nil {
		return core.Upstream{}, false
	}
	return f.Upstreams.Upstream(name)
}

// takeOver attaches to the stream at the upstream and reads it to its end.
func (e *execution) takeOver(ctx context.Context, up core.Upstream, offset int) error {
	p := &sched.Placement{Decode: up}
	// gotToken is set because the placement was not made by the Placer, which
	// must not get a first-token report for it.
	b := &branch{execution: e, transferred: true, gotToken: true, try: core.Try{Request: e.request, Attempt: e.lastAttempt}}
	boot := e.lastBoot(up)
	err := e.flow.Engines.Resume(ctx, up, e.request.ID, e.lastAttempt, offset, b.tokenHandler(p))
	err = b.reattach(ctx, p, err)
	if err == nil {
		return nil
	}
	e.handOverCancel(up, b.try.Attempt, err)
	if ctx.Err() == nil {
		b.reportFailure(ctx, up, boot, err)
	}
	if codes.Has(err, codes.NotFound) {
		return codes.Wrap(codes.UpstreamLost, err, "%s no longer holds the request; it ran there at least to token %d", up.Name, e.tokensSent()).WithRun(codes.Ran)
	}
	return err
}
