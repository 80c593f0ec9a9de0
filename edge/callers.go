package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"strings"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/access"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/hserv"
	"lacewinghook.example/lacewinghook/relay"
)

// callerRunner implements [platform.Runner]. It routes the requests of callers and
// runs them with the relay.
type callerRunner struct {
	edge *Edge
}

// Run implements [platform.Runner].
func (c callerRunner) Run(ctx context.Context, r *core.Request, a *hserv.Writer) error {
	taken, err := c.edge.limits.Take(ctx, r)
	if err != nil {
		return err
	}
	if taken.Over {
		r.Profile.Priority = core.LeastUrgent
	}
	err = c.runTaken(ctx, r, a)
	c.edge.returnTokens(taken, err)
	return err
}

// runTaken runs a request that has the tokens which it costs.
func (c callerRunner) runTaken(ctx context.Context, r *core.Request, a *hserv.Writer) error {
	kind := durationKind(r.Opaque)
	if r.Opaque.Route.Stream || r.Opaque.Route.Generates {
		key := c.edge.durations.Start(kind, r.Arrived)
		defer c.edge.durations.End(key)
	}
	err := c.edge.relay.Run(ctx, r, a)
	if err == nil {
		c.edge.durations.Observe(kind, durationSize(r), c.edge.Clock.Now()-r.Arrived)
		if a.Written > relay.MaxBufferedBytes {
			c.edge.longAnswers.Set(kind, struct{}{})
		}
	}
	return err
}

// Limits implements [platform.Runner]. Headers may always be as large as the settings allow.
func (c callerRunner) Limits() core.InputLimits {
	var l core.InputLimits
	if m := c.edge.routes.Manifest(); m != nil {
		l = m.Limits
	}
	l.Headers = max(l.Headers, int64(c.edge.Settings.Limits.WithDefaults().Header))
	return l
}

// Admit implements [platform.Runner]. It sets the request's route, service
// and profile, and limits its deadline to the route's timeout.
func (c callerRunner) Admit(r *core.Request) error {
	e := c.edge
	o := r.Opaque
	path, _, _ := strings.Cut(o.Target, "?")
	match, err := e.routes.Match(o.Host, path)
	if err != nil {
		c.logRejected(o, match.Version, err)
		return err
	}
	route := match.Route
	o.Route, o.Version = route, match.Version
	o.Service = route.Service(rand.Uint64())
	o.Ranked = match.Ranked[o.Service]
	r.Profile = route.Profile
	if err := identify(r, match.Accounts); err != nil {
		e.meter.Add("requests_unauthorized_total", 1)
		c.logRejected(o, match.Version, err)
		return err
	}
	latest := r.Arrived - r.Queued + cmp.Or(route.Profile.Timeout, defaultTimeout)
	if r.Deadline == 0 || r.Deadline > latest {
		r.Deadline = latest
	}
	if r.Deadline <= r.Arrived {
		return codes.New(codes.DeadlinePast, "request %s", o.ID)
	}
	return e.checkFinishes(r, true)
}

// logRejected logs that the manifest doesn't allow a request, and how current it is.
func (c callerRunner) logRejected(o *core.Opaque, version int64, err error) {
	e := c.edge
	s := e.watcher.ManifestState()
	e.Log.Info("edge: request rejected by the manifest", zap.String("request", o.ID), zap.Int64("manifest", version),
		zap.Int64("active", int64(e.Clock.Now())-e.manifestAt.Load()), zap.Int64("reported", s.Reported), zap.Int64("behind", int64(s.Behind)),
		zap.Int64("read", int64(s.ReadAge)), zap.Stringer("code", codes.From(err).Code))
}

// identify sets the workspace of a request, its priority and its limit. A request on a
// public route needs no key.
func identify(r *core.Request, accounts *access.Table) error {
	o := r.Opaque
	o.Keyed = accounts.Required()
	if !o.Keyed {
		return nil
	}
	a, err := accounts.Authenticate(o.Key)
	if err != nil {
		if o.Route.Public {
			return nil
		}
		return codes.Wrap(codes.Unauthorized, err, "request %s, manifest %d", o.ID, o.Version)
	}
	setAccount(r, a)
	return nil
}

// setAccount sets the workspace of a request, its limit and cost, and its priority.
func setAccount(r *core.Request, a core.Account) {
	o := r.Opaque
	r.Workspace, r.Limit = a.Name, a.Limit
	r.Cost = a.Limit.Cost(o.PromptTokens+r.MaxTokens, o.Counted)
	if a.Priority != nil {
		r.Profile.Priority = *a.Priority
	}
}

// defaultTimeout applies to routes that set no timeout.
const defaultTimeout = 30 * clock.Second
