package route

import (
	"math"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Cost chooses the pair with the earliest predicted first token. The zero
// value is ready.
type Cost struct {
	// Overcommit lets a decode upstream be chosen whose memory has no room
	// for the request, for the wait that this is expected to cost.
	Overcommit bool
	// Steady turns the random part off, which several entries with the same
	// late reports need to not all choose the same pair.
	Steady bool
}

// shortlist is the number of the best candidates of each side that are
// compared as pairs.
const shortlist = 4

// Weights of the prediction, in milliseconds.
const (
	// centreCost is a message's way to another data centre and back.
	centreCost = 3.0
	// fullCost is added for a decode memory that is all but full, and in
	// part for one that is partly full.
	fullCost = 10.0
	// overcommitCost is the wait for memory that is not free.
	overcommitCost = 400.0
	// noiseBase and noiseShare are the size of the random part: two pairs
	// that are closer than what the prediction can tell are equal.
	noiseBase  = 4.0
	noiseShare = 0.1
	// lateTokens bounds the tokens of an answer that a slow decode is charged
	// for.
	lateTokens = 16
)

// scored is a candidate with its part of the cost.
type scored struct {
	place int
	// cost is the predicted time, and order that with the random part.
	cost  float64
	order float64
}

// list holds the best candidates, best first.
type list struct {
	best [shortlist]scored
	n    int
}

func (l *list) add(s scored) {
	if l.n == shortlist && s.order >= l.best[l.n-1].order {
		return
	}
	if l.n < shortlist {
		l.n++
	}
	i := l.n - 1
	for i > 0 && l.best[i-1].order > s.order {
		l.best[i] = l.best[i-1]
		i--
	}
	l.best[i] = s
}

// Choose returns the best pair; ok is false if no pair can take the request.
func (c Cost) Choose(q Query, prefills, decodes []Candidate) (best Choice, ok bool) {
	if !q.possible(prefills, decodes) {
		return Choice{}, false
	}
	var left, right list
	c.shortlistPrefills(q, prefills, &left)
	c.shortlistDecodes(q, decodes, &right)
	least := math.Inf(1)
	for _, l := range left.best[:left.n] {
		for _, r := range right.best[:right.n] {
			link := 0.0
			if !q.Export {
				link = transfer(q, &prefills[l.place], &decodes[r.place])
			}
			order := l.order + r.order + link
			if order < least {
				least = order
				best.Prefill, best.Decode = l.place, r.place
				best.Wait = clock.Millis(l.cost + r.cost + link)
			}
		}
	}
	if math.IsInf(least, 1) {
		return Choice{}, false
	}
	best.Fill = decodes[best.Decode].fill()
	if !q.Export {
		p := &prefills[best.Prefill]
		best.Queue = clock.Millis(p.queueTime())
		best.Tokens = p.uncached(q.Tokens)
	}
	return best, true
}

func (c Cost) shortlistPrefills(q Query, prefills []Candidate, l *list) {
	if q.Export {
		l.add(scored{})
		return
	}
	for i := range prefills {
		p := &prefills[i]
		if q.MaxQueue > 0 && p.queueTime() > float64(q.MaxQueue) {
			continue
		}
		cost := p.queueTime() + p.computeTime(q.Tokens) + p.distance(q.Centre)
		l.add(scored{place: i, cost: cost, order: c.shake(q.Draw, i, cost)})
	}
}

func (c Cost) shortlistDecodes(q Query, decodes []Candidate, l *list) {
	for i := range decodes {
		d := &decodes[i]
		if d.Free < q.Pieces && !c.Overcommit {
			continue
		}
		cost := d.First * d.slow()
		if d.Free < q.Pieces {
			cost += overcommitCost
		}
		late := (d.slow() - 1) * d.Step * float64(min(q.Output, lateTokens))
		order := c.shake(^q.Draw, i, cost+late+d.fill()*fullCost)
		l.add(scored{place: i, cost: cost, order: order})
	}
}

// shake adds the random part to a cost.
func (c Cost) shake(draw uint64, i int, cost float64) float64 {
	if c.Steady {
		return cost
	}
	return cost + unit(draw+uint64(i)*golden)*(noiseBase+noiseShare*cost)
}

// golden is the increment of the splitmix64 sequence.
const golden = 0x9e3779b97f4a7c15

// unit turns x into a number from 0 up to 1, by the finisher of splitmix64.
func unit(x uint64) float64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}

func (c *Candidate) slow() float64 { return max(1, c.Slow) }

// defaultSpeed is assumed where nothing is known, in tokens a millisecond.
const defaultSpeed = 10

func (c *Candidate) speed() float64 {
	if c.Speed <= 0 {
		return defaultSpeed / c.slow()
	}
	return c.Speed / c.slow()
}

func (c *Candidate) queueTime() float64 { return float64(c.Queue) / c.speed() }

func (c *Candidate) uncached(tokens int) int {
	return max(1, tokens-c.Hits*core.BlockTokens)
}

func (c *Candidate) computeTime(tokens int) float64 {
	return float64(c.uncached(tokens)) / c.speed()
}

func (c *Candidate) distance(centre string) float64 {
	if c.Centre == centre {
		return 0
	}
	return centreCost
}

// fill is the share of the memory that is taken.
func (c *Candidate) fill() float64 {
	if c.Pieces <= 0 {
		return 0
	}
	return 1 - float64(c.Free)/float64(c.Pieces)
}

// transfer is the time that the KV cache takes on the slower of the two
// links, behind what is on its way there.
func transfer(q Query, p, d *Candidate) float64 {
	return max(p.linkTime(q.Bytes), d.linkTime(q.Bytes)) + p.distance(d.Centre)
}

func (c *Candidate) linkTime(bytes int64) float64 {
	if c.Rate <= 0 {
		return 0
	}
	return float64(c.Moving+bytes) / float64(c.Rate)
}
