package flow

import (
	"context"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pool"
)

// Services are the calls of plain services.
type Services interface {
	Call(ctx context.Context, up core.Upstream, call core.Call, attempt core.Attempt) (core.Answer, error)
}

// Replicas is what is known of the replicas of plain services.
type Replicas interface {
	Services(service string) []core.Upstream
	Begin(name string, w pool.Work)
	End(name string, w pool.Work)
}

// Plain makes calls of plain services that may be repeated. Both fields are
// needed.
type Plain struct {
	Services Services
	Replicas Replicas
}

// plainTries bounds the replicas that one call is tried at.
const plainTries = 3

// Call makes the call at one replica after another until one answers.
func (p *Plain) Call(ctx context.Context, call core.Call) (core.Answer, error) {
	ups := p.Replicas.Services(call.Service)
	if len(ups) == 0 {
		return core.Answer{}, codes.New(codes.NoUpstream, "service %q", call.Service)
	}
	var err error
	for i, up := range ups[:min(len(ups), plainTries)] {
		var a core.Answer
		a, err = p.at(ctx, up, call, core.Attempt(i+1))
		if err == nil || ctx.Err() != nil {
			return a, err
		}
	}
	return core.Answer{}, err
}

func (p *Plain) at(ctx context.Context, up core.Upstream, call core.Call, attempt core.Attempt) (core.Answer, error) {
	w := pool.Work{Requests: 1}
	p.Replicas.Begin(up.Name, w)
	defer p.Replicas.End(up.Name, w)
	return p.Services.Call(ctx, up, call, attempt)
}
