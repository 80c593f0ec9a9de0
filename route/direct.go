package route

import (
	"math"

	"lacewinghook.example/lacewinghook/clock"
)

// Direct selects either a pair of upstreams or a single decode upstream that also
// computes the prompt, by the predicted time to first token. The zero value is
// ready to use.
type Direct struct {
	// Pair selects the pair.
	Pair Cost
	// StreamDelay is the cost of computing a prompt at a decode upstream for
	// each stream that runs there; zero means defaultStreamDelay.
	StreamDelay clock.Millis
}

// defaultStreamDelay is the cost of delaying one running stream by a prompt computed
// at the same upstream. It is only a fraction of the actual delay.
const defaultStreamDelay clock.Millis = 60

// Choose returns the best pair or single decode upstream. ok is false if none can
// accept the request.
func (d Direct) Choose(q Query, prefills, decodes []Candidate) (Choice, bool) {
	best, ok := d.Pair.Choose(q, prefills, decodes)
	if q.Exported {
		return best, ok
	}
	lowest := math.Inf(1)
	if ok {
		lowest = float64(best.FirstToken)
	}
	for i := range decodes {
		c := &decodes[i]
		if c.Free < q.Pieces && !d.Pair.Overcommit {
			continue
		}
		wait := c.queueTime() + c.computeTime(q.Tokens) + c.centreTime(q.Centre)
		if c.Free < q.Pieces {
			wait += overcommitCost
		}
		cost := wait + float64(c.Running)*float64(d.streamDelay())
		if cost = d.Pair.addJitter(^q.Seed, i, cost); cost < lowest {
			lowest, ok = cost, true
			best = Choice{
				Decode: i, Direct: true, Tokens: c.uncachedTokens(q.Tokens),
				FirstToken: clock.Millis(wait), Queue: clock.Millis(c.queueTime()),
			}
		}
	}
	return best, ok
}

// streamDelay returns StreamDelay or its default.
func (d Direct) streamDelay() clock.Millis {
	if d.StreamDelay == 0 {
		return defaultStreamDelay
	}
	return d.StreamDelay
}
