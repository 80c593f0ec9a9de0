package flow

import (
	"context"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/place"
	"lacewinghook.example/lacewinghook/token"
)

// Upstreams finds upstreams by name.
type Upstreams interface {
	Upstream(name string) (core.Upstream, bool)
}

// Resume takes over a request that another entry began, and goes on with its
// answer from the token at offset. The earlier owner's attachment ends as
// [codes.Superseded]; from here on this entry cancels the request if its
// caller goes.
func (f *Flow) Resume(ctx context.Context, t token.Resume, offset int, sink Sink) error {
	up, ok := f.upstream(t.Upstream)
	if !ok {
		return codes.New(codes.UpstreamLost, "upstream %s is no longer published", t.Upstream).WithRun(codes.Ran)
	}
	if offset < 0 || offset > t.Max {
		return codes.New(codes.BadRequest, "offset: want 0 to %d", t.Max)
	}
	ctx, stop := context.WithTimeout(ctx, defaultTimeout.Std())
	defer stop()
	l := &life{
		flow: f, sink: sink, last: t.Attempt.Takeover(), ran: true, sent: offset,
		request: &core.Request{ID: t.ID, Workspace: t.Workspace, Digest: t.Digest},
	}
	if err := l.takeOver(ctx, up, offset); err != nil {
		return l.outcome(ctx, err)
	}
	return nil
}

func (f *Flow) upstream(name string) (core.Upstream, bool) {
	if f.Upstreams == nil {
		return core.Upstream{}, false
	}
	return f.Upstreams.Upstream(name)
}

// takeOver attaches to the stream at the upstream and reads it to its end.
func (l *life) takeOver(ctx context.Context, up core.Upstream, offset int) error {
	p := &place.Placement{Decode: up}
	// The placement is not the placer's, which isn't told of a first token.
	g := &leg{life: l, arrived: true, heard: true, try: core.Try{Request: l.request, Attempt: l.last}}
	g.start = l.flow.Clock.Now()
	boot := l.boot(up)
	err := l.flow.Engines.Resume(ctx, up, l.request.ID, l.last, offset, g.token(p))
	err = g.rejoin(ctx, p, err)
	if err == nil {
		return nil
	}
	l.cancel(up, g.try.Attempt, err)
	if ctx.Err() == nil {
		l.broke(ctx, up, boot, g.start, err)
	}
	if codes.Has(err, codes.NotFound) {
		return codes.Wrap(codes.UpstreamLost, err, "%s no longer holds the request; it ran there at least to token %d", up.Name, l.had()).WithRun(codes.Ran)
	}
	return err
}
