package relay

import (
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/shard"
)

// exclusion excludes an upstream from selection after connection failures.
type exclusion struct {
	until    clock.Millis
	failures int
}

// The replica list shows a crash some seconds late. Until then an unreachable
// upstream is excluded for a time that doubles with each consecutive failure
// from minExclusion to maxExclusion.
const (
	minExclusion clock.Millis = 500
	maxExclusion clock.Millis = 4000
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

// exclude excludes up from selection, for longer each time until list forgets it.
func (r *Relay) exclude(up core.Upstream, list *shard.Map[string, exclusion]) {
	now := r.Clock.Now()
	var e exclusion
	list.Update(up.Name, func(old exclusion, _ bool) (exclusion, bool) {
		e = old
		if now < old.until {
			// Concurrent requests that fail at the same upstream count as one
			// failure.
			return old, true
		}
		e = exclusion{until: now + min(minExclusion<<min(old.failures, 8), maxExclusion), failures: old.failures + 1}
		return e, true
	})
	r.logger().Info("relay: upstream excluded", zap.String("upstream", up.Name), zap.Int64("for", int64(e.until-now)),
		zap.Int("failures", e.failures))
}

// markReachable ends the exclusion of an upstream that has answered, and resets
// its failure count.
func (r *Relay) markReachable(up core.Upstream) { r.unreachable.Delete(up.Name) }

// isUnreachable reports whether the upstream is currently excluded.
func (r *Relay) isUnreachable(name string) bool {
	now := r.Clock.Now()
	for _, list := range []*shard.Map[string, exclusion]{&r.unreachable, &r.endless} {
		if e, ok := list.Get(name); ok && now < e.until {
			return true
		}
	}
	return false
}
