package relay

import (
	"context"
	"math/rand/v2"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/notice"
)

// notice returns what applies to an upstream by its own statements.
func (r *Relay) notice(name string) notice.Status {
	if r.Notices == nil {
		return notice.Status{}
	}
	return r.Notices.Status(name)
}

// noticeFields returns the log fields of a status.
func noticeFields(n notice.Status) []zap.Field {
	return []zap.Field{zap.Bool("leaving", n.Leaving), zap.Int64("paused_until", int64(n.PausedUntil)),
		zap.String("source", n.Source), zap.Int64("notice_age", int64(n.Age))}
}

// decodeEngines returns the names of the decode engines of the request's service.
func (x *exchange) decodeEngines() []string {
	var names []string
	engines := x.relay.Pool.Candidates(core.Decode, x.opaque.Service, nil, nil)
	for i := range engines {
		names = append(names, engines[i].Name)
	}
	return names
}

// serviceReplicas returns the names of the replicas of the request's service.
func (x *exchange) serviceReplicas() []string {
	var names []string
	replicas := x.relay.Pool.Replicas(x.opaque.Service)
	for i := range replicas {
		names = append(names, replicas[i].Upstream.Name)
	}
	return names
}

// maxSearches is the number of further searches, and searchPause the pause before each,
// if none was found although some aren't barred: a pause has just ended, or the groups of
// engines that were asked have none.
const (
	maxSearches              = 3
	searchPause clock.Millis = 15
)

// resumeJitter is the longest random time that is added to the end of a pause in a
// Retry-After header, so that callers rejected together don't return together.
const resumeJitter clock.Millis = 500

// awaitPause handles err, the failure to find an upstream among those that list names,
// which it calls only if there was none to choose. If all are barred, and the first pause ends within the request's latency target,
// it waits for the end and returns nil. Otherwise it returns an error, with the time to
// return after if there is a pause.
func (x *exchange) awaitPause(ctx context.Context, list func() []string, err error) error {
	if !codes.Has(err, codes.NoUpstream) {
		return err
	}
	names := list()
	var resume clock.Millis
	x.barred, x.resumeIn = 0, 0
	for _, name := range names {
		n := x.relay.notice(name)
		if !n.Barred {
			continue
		}
		x.barred++
		if !n.Leaving && (resume == 0 || n.PausedUntil < resume) {
			resume = n.PausedUntil
		}
	}
	if x.barred < len(names) {
		if x.searches++; x.searches > maxSearches {
			return err
		}
		return x.sleep(ctx, searchPause)
	}
	if resume == 0 {
		return err
	}
	now := x.relay.Clock.Now()
	x.resumeIn = max(1, resume-now)
	if resume <= x.request.Arrived+x.request.Profile.FirstToken {
		return x.sleep(ctx, x.resumeIn)
	}
	x.relay.Meter.Add("paused_rejections_total", 1)
	return codes.Wrap(codes.NoUpstream, err, "service %q: %d upstreams want no requests", x.opaque.Service, x.barred).
		WithRetryAfter(x.resumeIn + rand.N(resumeJitter))
}

// sleep waits for d. It returns an error if ctx ends meanwhile.
func (x *exchange) sleep(ctx context.Context, d clock.Millis) error {
	if err := x.relay.Clock.Sleep(ctx, d); err != nil {
		return codes.From(err).WithRun(codes.NotRun)
	}
	return nil
}
