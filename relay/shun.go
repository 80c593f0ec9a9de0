package relay

import (
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// shunned is an upstream that could not be reached lately.
type shunned struct {
	until    clock.Millis
	failures int
}

// The list of replicas lags by some seconds behind a crash. An upstream that
// can't be reached is left out meanwhile, for a time that doubles from
// shunLeast to shunMost.
const (
	shunLeast clock.Millis = 500
	shunMost  clock.Millis = 4000
)

// shun leaves an upstream out for a while after an error that says that it
// can't be reached.
func (f *Relay) shun(up core.Upstream, err error) {
	switch codes.From(err).Code {
	case codes.UpstreamDown, codes.UpstreamTimeout:
	default:
		return
	}
	now := f.Clock.Now()
	var s shunned
	f.away.Update(up.Name, func(old shunned, _ bool) (shunned, bool) {
		s = old
		if now < old.until {
			// Requests that failed beside each other count once.
			return old, true
		}
		s = shunned{until: now + min(shunLeast<<min(old.failures, 8), shunMost), failures: old.failures + 1}
		return s, true
	})
	f.log().Info("relay: an upstream is left out", zap.String("upstream", up.Name), zap.Int64("for", int64(s.until-now)),
		zap.Int("failures", s.failures))
}

// reached notes that an upstream has answered.
func (f *Relay) reached(up core.Upstream) { f.away.Delete(up.Name) }

// shuns reports whether the upstream is left out at present.
func (f *Relay) shuns(name string) bool {
	s, ok := f.away.Get(name)
	return ok && f.Clock.Now() < s.until
}
