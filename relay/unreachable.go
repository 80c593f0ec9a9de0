package relay

import (
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/avoid"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// markUnreachable excludes up from selection if err is a connection failure or
// a timeout.
func (r *Relay) markUnreachable(up core.Upstream, err error) {
	switch codes.From(err).Code {
	case codes.UpstreamDown, codes.UpstreamTimeout:
	default:
		return
	}
	r.exclude(up, &r.unreachable)
}

// exclude excludes up from selection, for longer each time until t forgets it.
func (r *Relay) exclude(up core.Upstream, t *avoid.Table) {
	now := r.Clock.Now()
	e := t.Exclude(up.Name, now)
	r.logger().Info("relay: upstream excluded", zap.String("upstream", up.Name), zap.Int64("for", int64(e.Until-now)),
		zap.Int("failures", e.Failures))
}

// markReachable ends the exclusion of an upstream that has answered, and resets
// its failure count.
func (r *Relay) markReachable(up core.Upstream) { r.unreachable.Forget(up.Name) }

// isUnreachable reports whether the upstream is currently excluded.
func (r *Relay) isUnreachable(name string) bool {
	now := r.Clock.Now()
	return r.unreachable.Excluded(name, now) || r.endless.Excluded(name, now)
}
