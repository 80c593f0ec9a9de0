package route

import (
	"math"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Cost selects the pair of upstreams with the shortest predicted time to first
// token. The zero value is ready to use.
type Cost struct {
	// Overcommit allows a decode upstream without enough free memory, at the
	// expected cost of waiting for it (overcommitCost).
	Overcommit bool
	// NoJitter disables the random part of the cost. Without that part, several
	// entries with the same late reports all select the same pair.
	NoJitter bool
}

// shortlist is the number of best candidates of each role that are compared as
// pairs.
const shortlist = 4

// Parameters of the cost, in milliseconds unless stated otherwise.
const (
	// remoteCentreCost is the round trip of a message to another data centre.
	remoteCentreCost = 3.0
	// fullMemoryCost is added for a completely full decode memory, and
	// proportionally less for a partly full one.
	fullMemoryCost = 10.0
	// overcommitCost is the expected wait until memory becomes free.
	overcommitCost = 400.0
	// The random part of a cost is below jitterBase plus the share jitterShare
	// of the cost. The prediction isn't accurate enough to distinguish pairs
	// that differ by less.
	jitterBase  = 4.0
	jitterShare = 0.1
	// maxSlowTokens is the number of answer tokens, at most, whose delay at a
	// slow decode upstream is added to its cost.
	maxSlowTokens = 16
)

// scored is a candidate with its part of the cost.
type scored struct {
	// index is the candidate's position in its list.
	index int
	// cost is the predicted time in milliseconds, and rank is cost plus the
	// penalties and the random part. Candidates are compared by rank.
	cost float64
	rank float64
}

// topList holds the best candidates, best first.
type topList struct {
	best [shortlist]scored
	n    int
}

// add inserts s by its rank and drops the worst candidate if the list is full.
func (l *topList) add(s scored) {
	if l.n == shortlist && s.rank >= l.best[l.n-1].rank {
		return
	}
	if l.n < shortlist {
		l.n++
	}
	i := l.n - 1
	for i > 0 && l.best[i-1].rank > s.rank {
		l.best[i] = l.best[i-1]
		i--
	}
	l.best[i] = s
}

// Choose returns the best pair. ok is false if no pair can accept the request.
func (c Cost) Choose(q Query, prefills, decodes []Candidate) (best Choice, ok bool) {
	if !q.hasCandidates(prefills, decodes) {
		return Choice{}, false
	}
	var prefillTop, decodeTop topList
	c.shortlistPrefills(q, prefills, &prefillTop)
	c.shortlistDecodes(q, decodes, &decodeTop)
	lowest := math.Inf(1)
	for _, left := range prefillTop.best[:prefillTop.n] {
		for _, right := range decodeTop.best[:decodeTop.n] {
			transfer := 0.0
			if !q.Exported {
				transfer = transferTime(q, &prefills[left.index], &decodes[right.index])
			}
			rank := left.rank + right.rank + transfer
			if rank < lowest {
				lowest = rank
				best.Prefill, best.Decode = left.index, right.index
				best.FirstToken = clock.Millis(left.cost + right.cost + transfer)
			}
		}
	}
	if math.IsInf(lowest, 1) {
		return Choice{}, false
	}
	best.Fill = decodes[best.Decode].memoryFill()
	if !q.Exported {
		p := &prefills[best.Prefill]
		best.Queue = clock.Millis(p.queueTime())
		best.Tokens = p.uncachedTokens(q.Tokens)
	}
	return best, true
}

// shortlistPrefills adds the prefills whose queue is within q.MaxQueue to the list.
// For an export it adds one placeholder without cost.
func (c Cost) shortlistPrefills(q Query, prefills []Candidate, top *topList) {
	if q.Exported {
		top.add(scored{})
		return
	}
	for i := range prefills {
		p := &prefills[i]
		if q.MaxQueue > 0 && p.queueTime() > float64(q.MaxQueue) {
			continue
		}
		cost := p.queueTime() + p.computeTime(q.Tokens) + p.centreTime(q.Centre)
		top.add(scored{index: i, cost: cost, rank: c.addJitter(q.Seed, i, cost)})
	}
}

// shortlistDecodes adds the decodes with enough free memory to the list, or all
// of them if Overcommit is set.
func (c Cost) shortlistDecodes(q Query, decodes []Candidate, top *topList) {
	for i := range decodes {
		d := &decodes[i]
		if d.Free < q.Pieces && !c.Overcommit {
			continue
		}
		cost := d.FirstToken * d.slowdown()
		if d.Free < q.Pieces {
			cost += overcommitCost
		}
		delay := (d.slowdown() - 1) * d.TokenTime * float64(min(q.Output, maxSlowTokens))
		rank := c.addJitter(^q.Seed, i, cost+delay+d.memoryFill()*fullMemoryCost)
		top.add(scored{index: i, cost: cost, rank: rank})
	}
}

// addJitter adds the random part for candidate i, derived from seed, to a cost.
func (c Cost) addJitter(seed uint64, i int, cost float64) float64 {
	if c.NoJitter {
		return cost
	}
	return cost + unitFloat(seed+uint64(i)*splitmixIncrement)*(jitterBase+jitterShare*cost)
}

// splitmixIncrement is the increment of the splitmix64 sequence.
const splitmixIncrement = 0x9e3779b97f4a7c15

// unitFloat maps x to a number in [0, 1) with the finalizer of splitmix64.
func unitFloat(x uint64) float64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}

// slowdown returns the factor by which the candidate is slower than its peers, at
// least 1.
func (c *Candidate) slowdown() float64 { return max(1, c.Slowdown) }

// defaultPrefillSpeed is the speed, in tokens per millisecond, of a candidate without
// measurements.
const defaultPrefillSpeed = 10

// speed returns the prefill speed in tokens per millisecond.
func (c *Candidate) speed() float64 {
	if c.Speed <= 0 {
		return defaultPrefillSpeed / c.slowdown()
	}
	return c.Speed / c.slowdown()
}

// queueTime returns the time to compute the queued prompts, in milliseconds.
func (c *Candidate) queueTime() float64 { return float64(c.QueuedTokens) / c.speed() }

// uncachedTokens returns the number of prompt tokens that aren't cached, at least
// one.
func (c *Candidate) uncachedTokens(tokens int) int {
	return max(1, tokens-c.CachedBlocks*core.BlockTokens)
}

// computeTime returns the time to compute a prompt, in milliseconds.
func (c *Candidate) computeTime(tokens int) float64 {
	return float64(c.uncachedTokens(tokens)) / c.speed()
}

// centreTime returns the added round trip if the candidate is in another data
// centre, in milliseconds.
func (c *Candidate) centreTime(centre string) float64 {
	if c.Centre == centre {
		return 0
	}
	return remoteCentreCost
}

// memoryFill returns the used share of the decode memory.
func (c *Candidate) memoryFill() float64 {
	if c.Pieces <= 0 {
		return 0
	}
	return 1 - float64(c.Free)/float64(c.Pieces)
}

// transferTime returns the time to transfer the KV cache over the slower of the two
// links, behind the transfers in flight, in milliseconds.
func transferTime(q Query, p, d *Candidate) float64 {
	return max(p.linkTime(q.Bytes), d.linkTime(q.Bytes)) + p.centreTime(d.Centre)
}

// linkTime returns the time to transfer bytes over the candidate's link, behind the
// transfers in flight, in milliseconds.
func (c *Candidate) linkTime(bytes int64) float64 {
	if c.LinkRate <= 0 {
		return 0
	}
	return float64(c.TransferBytes+bytes) / float64(c.LinkRate)
}
