package pool

import (
	"math"

	"lacewinghook.example/lacewinghook/clock"
)

// DecayingMean measures the time per unit of work, giving recent observations
// more weight. It keeps exponentially decaying sums of time and amount. The
// zero value has no observations.
type DecayingMean struct {
	// Time is in milliseconds. The unit of Amount depends on the work: tokens
	// or requests.
	Time   float64
	Amount float64
	// At is the instant of the last observation.
	At clock.Millis
}

// meanHalfLife is the time after which an observation has half its weight. The
// slowdown of an unused straggler returns to 1 after a few half-lives, and the
// upstream is then tried again.
const meanHalfLife = 2 * clock.Second

// decayed returns the mean with its sums decayed to now.
func (m DecayingMean) decayed(now clock.Millis) DecayingMean {
	if now <= m.At || m.Amount == 0 {
		return m
	}
	f := math.Exp2(-float64(now-m.At) / float64(meanHalfLife))
	return DecayingMean{Time: m.Time * f, Amount: m.Amount * f, At: now}
}

// Add records work of the given amount that took the given time.
func (m *DecayingMean) Add(now, took clock.Millis, amount float64) {
	*m = m.decayed(now)
	m.Time += float64(took)
	m.Amount += amount
	m.At = now
}

// Mean returns the time per unit, and false if nothing was observed.
func (m DecayingMean) Mean() (float64, bool) {
	if m.Amount <= 0 {
		return 0, false
	}
	return m.Time / m.Amount, true
}

// Recent returns the mean at now in milliseconds and the weight of its
// observations. Because the observations decay, an upstream that was slow is tried
// again. Both are zero if nothing was observed.
func (m DecayingMean) Recent(now clock.Millis) (mean, weight float64) {
	f := m.decayed(now)
	mean, _ = f.Mean()
	return mean, f.Amount
}

// slowdown returns the ratio of the observed time to the time at the
// baseline's speed. The prior, in milliseconds, is added to both, so that a
// few short observations have little effect.
func (m DecayingMean) slowdown(base, prior float64) float64 {
	return (m.Time + prior) / (base*m.Amount + prior)
}

// Observations holds the speeds of an upstream as measured by this entry.
type Observations struct {
	// PrefillPerToken is the prefill time per token. The tokens include those
	// of the prompts queued ahead.
	PrefillPerToken DecayingMean
	// FirstToken is the time from the call of a decode upstream to its first
	// token, per request.
	FirstToken DecayingMean
	// InterToken is the time between two tokens of an answer.
	InterToken DecayingMean
	// UnqueuedPrefill is a low quantile of the prefill time per token, in
	// milliseconds. It approximates the speed without requests of other
	// entries ahead, which this entry can't count.
	UnqueuedPrefill float64
}

// Constants of the estimate of UnqueuedPrefill.
const (
	// unqueuedQuantile is the quantile that is tracked, and unqueuedStep the
	// fraction by which one observation moves the estimate.
	unqueuedQuantile = 0.3
	unqueuedStep     = 0.1
	// minUnqueuedTokens is the least number of tokens in an observation;
	// shorter prefills say too little about the speed.
	minUnqueuedTokens = 256
)

// updateUnqueued moves the quantile estimate towards one observation.
func (o *Observations) updateUnqueued(took clock.Millis, amount float64) {
	perToken := float64(took) / amount
	switch {
	case amount < minUnqueuedTokens:
	case o.UnqueuedPrefill == 0:
		o.UnqueuedPrefill = perToken
	case perToken < o.UnqueuedPrefill:
		o.UnqueuedPrefill *= 1 - unqueuedStep*(1-unqueuedQuantile)
	default:
		o.UnqueuedPrefill *= 1 + unqueuedStep*unqueuedQuantile
	}
}

// Priors of the slowdown of each measure, in milliseconds (see
// [DecayingMean.slowdown]).
const (
	prefillPrior    = 100.0
	firstTokenPrior = 60.0
	interTokenPrior = 200.0
)

// prefillCall is a prefill in flight. amount counts the tokens that the
// upstream has to compute until it ends, including those queued ahead.
type prefillCall struct {
	id     uint64
	start  clock.Millis
	amount float64
}

// callOverheadTokens is the fixed cost of a prefill call, in tokens.
const callOverheadTokens = 64

// prefillMean returns the observed prefill time per token at now. If the
// oldest call in flight already takes longer than the baseline allows, its
// elapsed time is included, so that a stall shows before the call ends.
func (s *slot) prefillMean(now clock.Millis, base float64) DecayingMean {
	mean := s.state.Observed.PrefillPerToken.decayed(now)
	if len(s.calls) == 0 {
		return mean
	}
	oldest := s.calls[0]
	elapsed := float64(now - oldest.start)
	if elapsed > base*oldest.amount {
		mean.Time += elapsed
		mean.Amount += oldest.amount
	}
	return mean
}

// slowdown returns how many times slower than its peers the upstream is, at
// least 1. The caller must hold the lock.
func (s *slot) slowdown(now clock.Millis, base Baseline) float64 {
	prefill := s.prefillMean(now, base.PrefillPerToken).slowdown(base.PrefillPerToken, prefillPrior)
	first := s.state.Observed.FirstToken.decayed(now).slowdown(base.FirstToken, firstTokenPrior)
	interToken := s.state.Observed.InterToken.decayed(now).slowdown(base.InterToken, interTokenPrior)
	return max(1, prefill, first, interToken)
}

// Baseline holds the median speeds of the upstreams of one role and model, in
// milliseconds. The fields match those of [Observations].
type Baseline struct {
	PrefillPerToken float64
	FirstToken      float64
	InterToken      float64
	UnqueuedPrefill float64
}

// defaultBaseline is used for measures that no upstream of the group has yet.
var defaultBaseline = Baseline{PrefillPerToken: 0.1, FirstToken: 50, InterToken: 30, UnqueuedPrefill: 0.1}

// stragglerSlowdown is the slowdown from which an upstream is a straggler.
const stragglerSlowdown = 2.5

// IsStraggler reports whether the upstream is much slower than its peers. An
// upstream with several models is compared with the peers of the first one.
func (t *Table) IsStraggler(name string) bool {
	idx := t.currentIndex()
	s, ok := idx.slots[name]
	if !ok || t.NoStragglerScores {
		return false
	}
	s.mu.Lock()
	up := s.state.Upstream
	s.mu.Unlock()
	if len(up.Models) == 0 {
		return false
	}
	now := t.Clock.Now()
	base := idx.groups[groupKey{role: up.Role, model: up.Models[0]}].currentBaseline(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slowdown(now, base) >= stragglerSlowdown
}
