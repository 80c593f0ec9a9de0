package route

import (
	"math"

	"lacewinghook.example/lacewinghook/clock"
)

// Direct chooses between a pair of upstreams and a decode upstream that
// computes the prompt itself, by the predicted first token. The zero value is
// ready.
type Direct struct {
	// Pair chooses the pair.
	Pair Cost
	// Busy is what computing a prompt costs each stream that runs at the
	// decode upstream, in milliseconds of the prediction; zero is defaultBusy.
	Busy clock.Millis
}

// defaultBusy is the delay of a running stream while another prompt is
// computed beside it, as a share of which the choice weighs it.
const defaultBusy clock.Millis = 60

// Choose returns the best way; ok is false if there is none.
func (d Direct) Choose(q Query, prefills, decodes []Candidate) (Choice, bool) {
	best, ok := d.Pair.Choose(q, prefills, decodes)
	if q.Export {
		return best, ok
	}
	least := math.Inf(1)
	if ok {
		least = float64(best.Wait)
	}
	for i := range decodes {
		c := &decodes[i]
		if c.Free < q.Pieces && !d.Pair.Overcommit {
			continue
		}
		wait := c.queueTime() + c.computeTime(q.Tokens) + c.distance(q.Centre)
		if c.Free < q.Pieces {
			wait += overcommitCost
		}
		cost := wait + float64(c.Running)*float64(d.busy())
		if cost = d.Pair.shake(^q.Draw, i, cost); cost < least {
			least, ok = cost, true
			best = Choice{
				Decode: i, Direct: true, Tokens: c.uncached(q.Tokens),
				Wait: clock.Millis(wait), Queue: clock.Millis(c.queueTime()),
			}
		}
	}
	return best, ok
}

func (d Direct) busy() clock.Millis {
	if d.Busy == 0 {
		return defaultBusy
	}
	return d.Busy
}
