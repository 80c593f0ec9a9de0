package pool

import (
	"math"

	"lacewinghook.example/lacewinghook/clock"
)

// Pace is how long work takes: sums of time and of amount in which older
// observations weigh less and less. The zero value has seen nothing.
type Pace struct {
	// Time is in milliseconds, Amount in the unit of the work.
	Time   float64
	Amount float64
	// At is the instant of the last observation.
	At clock.Millis
}

// paceHalfLife is the time after which an observation weighs half. A
// straggler that is not used looks like its peers again after a few of them.
const paceHalfLife = 2 * clock.Second

// faded returns the sums as they weigh at now.
func (p Pace) faded(now clock.Millis) Pace {
	if now <= p.At || p.Amount == 0 {
		return p
	}
	f := math.Exp2(-float64(now-p.At) / float64(paceHalfLife))
	return Pace{Time: p.Time * f, Amount: p.Amount * f, At: now}
}

// add takes in one observation.
func (p *Pace) add(now, took clock.Millis, amount float64) {
	*p = p.faded(now)
	p.Time += float64(took)
	p.Amount += amount
	p.At = now
}

// Mean returns the time that one unit takes, and whether any was seen.
func (p Pace) Mean() (float64, bool) {
	if p.Amount <= 0 {
		return 0, false
	}
	return p.Time / p.Amount, true
}

// Expect returns the time that one unit takes, as a mean of what was seen and
// one unit of the prior. What was seen fades, so that one that was slow is
// tried again.
func (p Pace) Expect(now clock.Millis, prior float64) float64 {
	f := p.faded(now)
	return (f.Time + prior) / (f.Amount + 1)
}

// slower returns how many times slower than base the work is. prior is the
// expected time of work as usual that is added on both sides, so that a few
// short observations weigh little.
func (p Pace) slower(base, prior float64) float64 {
	return (p.Time + prior) / (base*p.Amount + prior)
}

// Seen is what this entry itself has observed of an upstream.
type Seen struct {
	// Prefill is by prompt token, including the tokens that were ahead.
	Prefill Pace
	// First is from the call of a decode upstream to its first token, by
	// request.
	First Pace
	// Step is by token of an answer.
	Step Pace
	// Quick is a low quantile of the prefill times by token: what the engine
	// takes where nothing unseen was ahead.
	Quick float64
}

// The quantile that Quick follows, and the share by which one observation
// moves it.
const (
	quickQuantile = 0.3
	quickStep     = 0.1
	// quickLeast is the least amount, in tokens, that tells the speed.
	quickLeast = 256
)

// quick moves the quantile towards one observation.
func (s *Seen) quick(took clock.Millis, amount float64) {
	x := float64(took) / amount
	switch {
	case amount < quickLeast:
	case s.Quick == 0:
		s.Quick = x
	case x < s.Quick:
		s.Quick *= 1 - quickStep*(1-quickQuantile)
	default:
		s.Quick *= 1 + quickStep*quickQuantile
	}
}

// The priors of the scores: this much time as usual stands against what was
// observed.
const (
	priorPrefill = 100.0
	priorFirst   = 60.0
	priorStep    = 200.0
)

// flight is one prefill under way.
type flight struct {
	id     uint64
	start  clock.Millis
	amount float64
}

// overheadTokens stands for the fixed cost of a prefill call.
const overheadTokens = 64

// prefillPace is what was seen of a prefill, with the oldest call under way
// where that is overdue already.
func (s *slot) prefillPace(now clock.Millis, base float64) Pace {
	p := s.state.Seen.Prefill.faded(now)
	if len(s.flights) == 0 {
		return p
	}
	oldest := s.flights[0]
	elapsed := float64(now - oldest.start)
	if elapsed > base*oldest.amount {
		p.Time += elapsed
		p.Amount += oldest.amount
	}
	return p
}

// slow returns how many times slower than its peers the upstream is; the
// caller holds the lock.
func (s *slot) slow(now clock.Millis, base Base) float64 {
	prefill := s.prefillPace(now, base.Prefill).slower(base.Prefill, priorPrefill)
	first := s.state.Seen.First.faded(now).slower(base.First, priorFirst)
	step := s.state.Seen.Step.faded(now).slower(base.Step, priorStep)
	return max(1, prefill, first, step)
}

// Base is what is usual among the upstreams of one role and model: the
// medians of what was observed.
type Base struct {
	Prefill float64
	First   float64
	Step    float64
	// Quick is the time by token of a prefill with nothing unseen ahead.
	Quick float64
}

// defaultBase is assumed until something was observed.
var defaultBase = Base{Prefill: 0.1, First: 50, Step: 30, Quick: 0.1}

// slowFrom is the score from which an upstream counts as a straggler.
const slowFrom = 2.5

// Slow reports whether the upstream is a straggler among its peers.
func (t *Table) Slow(name string) bool {
	x := t.load()
	s, ok := x.slots[name]
	if !ok || t.NoScores {
		return false
	}
	s.mu.Lock()
	up := s.state.Upstream
	s.mu.Unlock()
	if len(up.Models) == 0 {
		return false
	}
	now := t.Clock.Now()
	base := x.groups[groupKey{role: up.Role, model: up.Models[0]}].usual(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slow(now, base) >= slowFrom
}
