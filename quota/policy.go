package quota

import (
	"cmp"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Policy is what may be run beyond the limits: in any window of the length Span, a
// workspace may use (Rate*Span+Burst) * (1+Overshoot) + Slack. Slack applies to limits that
// count tokens. A zero Span means the default Span and Overshoot.
type Policy struct {
	Span      clock.Millis
	Overshoot float64
	Slack     float64
}

// Defaults of a [Policy] that has no Span, and the longest life of a lease.
const (
	defaultSpan                   = 8 * clock.Second
	defaultOvershoot              = 0.1
	maxLease         clock.Millis = 500
)

// leaseShare is the part of the overshoot that leases use up: tokens that were granted
// before a window may be used in it. It gives leases 500 ms with the default Policy.
const leaseShare = 0.625

// shareMargin is the part of an entry's share that it uses. The rest covers the deviation
// of requests that are admitted by a random draw, see [Bucket.TakeShare].
const shareMargin = 0.75

// minEntries is the least number of entries by which the tokens of all are divided: an
// entry that has just started may not know the others.
const minEntries = 3

// withDefaults returns p, or the default policy if p is not set.
func (p Policy) withDefaults() Policy {
	if p.Span == 0 {
		return Policy{Span: defaultSpan, Overshoot: defaultOvershoot, Slack: p.Slack}
	}
	return p
}

// Lease returns how long tokens may be kept at an entry.
func (p Policy) Lease() clock.Millis {
	p = p.withDefaults()
	return min(maxLease, clock.Millis(leaseShare*p.Overshoot*float64(p.Span)))
}

// toleratedShare is the part of the tolerance that owners grant to requests beyond the
// limit, which run behind all others. The rest is for entries that reach no owner.
const toleratedShare = 0.5

// Tolerated returns the limit up to which requests run at all.
func (p Policy) Tolerated(l core.Limit) core.Limit {
	l.Burst = capacity(l)
	l.Rate += toleratedShare * p.tolerance(l) / seconds(p.withDefaults().Span)
	return l
}

// Spare returns what may be run in a window beyond what the owner grants.
func (p Policy) Spare(l core.Limit) float64 { return (1 - toleratedShare) * p.tolerance(l) }

// tolerance returns what may be run in a window beyond the rate, the burst and what leases
// use up.
func (p Policy) tolerance(l core.Limit) float64 {
	p = p.withDefaults()
	spare := p.Overshoot*(l.Rate*seconds(p.Span)+l.Burst) - l.Rate*seconds(p.Lease())
	if l.Tokens {
		spare += p.Slack
	}
	return max(0, spare)
}

// Share returns the limit of one of n entries while it reaches no owner. The shares of all
// entries come to no more than [Policy.Spare] in a window, so that the limit holds also if
// an owner that this entry can't reach goes on granting. Half is burst and half is rate.
func (p Policy) Share(l core.Limit, n int) core.Limit {
	half := p.Spare(l) * shareMargin / 2 / float64(max(n, minEntries))
	return core.Limit{Rate: half / seconds(p.withDefaults().Span), Burst: half, Tokens: l.Tokens}
}

// capacity returns how much a bucket of this limit holds. Without a burst it holds a tenth
// of a second of the rate, which absorbs the spread of the requests' arrival.
func capacity(l core.Limit) float64 { return cmp.Or(l.Burst, l.Rate/10) }

// seconds converts a duration to seconds.
func seconds(d clock.Millis) float64 { return float64(d) / float64(clock.Second) }
