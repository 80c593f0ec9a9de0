package soak

import (
	"math/rand/v2"
	"strings"
	"time"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/extsim"
)

// Lengths of answers.
const (
	// paceWindow is how long the share of long answers and the speed of replicas last.
	paceWindow = 5 * clock.Second
	// shortWork and longestWork limit the time for which a replica works on an answer. The
	// rest of the deadline is for slow steps and callers.
	shortWork   clock.Millis = 900
	longestWork clock.Millis = 12500
	// minInterval and maxInterval limit the time between two events of a drawn stream.
	minInterval clock.Millis = 15
	maxInterval clock.Millis = 120
	// maxSilent is the largest number of silent spells of a stream.
	maxSilent = 3
	// maxParts is how often the largest body repeats answerBody.
	maxParts = 600
	// maxReadPause is the longest pause before each read of a caller that reads slowly,
	// and slowBuffer its receive buffer in bytes.
	maxReadPause = 3 * time.Millisecond
	slowBuffer   = 4 << 10
	// mostTokens is the largest number of events of a stream.
	mostTokens = int(longestWork / minInterval)
)

// longShares are the shares of long answers, in percent, of which one holds in each
// window, and slowdowns the factors of the time between two events.
var (
	longShares = []int{0, 0, 20, 60}
	slowdowns  = []clock.Millis{1, 1, 2, 3}
)

// mood is what requests ask for in a window of time.
type mood struct {
	long int // percent
	slow clock.Millis
}

// moodAt returns the mood at an instant. It is fixed by the seed.
func (g *rig) moodAt(at clock.Millis) mood {
	r := newRand(g.seed, 5000+uint64(at/paceWindow))
	return mood{longShares[r.IntN(len(longShares))], slowdowns[r.IntN(len(slowdowns))]}
}

// draw returns how the answer to a request of a shape is made, and for how long a replica
// works on it. A short one is made as the replica usually does, and its time is zero.
func (m mood) draw(r *rand.Rand, s Shape) (p extsim.Pace, work clock.Millis) {
	if !s.Stream && r.IntN(4) == 0 {
		p.Parts = 1 + r.IntN(maxParts)
	}
	if r.IntN(100) >= m.long {
		return p, 0
	}
	work = shortWork + clock.Millis(r.Int64N(int64(longestWork-shortWork)))
	if !s.Stream {
		return p, work
	}
	interval := min(maxInterval, m.slow*(minInterval+clock.Millis(r.Int64N(int64(maxInterval)/3))))
	silent := r.IntN(maxSilent + 1)
	sending := max(work-clock.Millis(silent)*clock.Second, interval)
	p.Interval, p.Events = interval.Duration(), int(sending/interval)
	for range silent {
		p.Silent = append(p.Silent, 1+r.IntN(p.Events))
	}
	return p, work
}

// tokens returns the largest number of tokens that a request asks for. In half of the seeds
// all requests state the same one, whatever their length.
func (g *rig) tokens(r *rand.Rand, p extsim.Pace) int {
	if g.seed%2 == 0 {
		return mostTokens
	}
	return max(p.Events, eventCount) + r.IntN(eventCount)
}

// paceOf returns how the answer to a request is made.
func (g *rig) paceOf(id string) extsim.Pace {
	p, _ := g.paces.Load(id)
	w, _ := p.(work)
	return w.pace
}

// work is the work on a request.
type work struct {
	pace extsim.Pace
	time clock.Millis
}

// workOf returns the time for which a plain service works on a request.
func (g *rig) workOf(id string, usual time.Duration) time.Duration {
	p, _ := g.paces.Load(id)
	switch w, _ := p.(work); {
	case w.time > 0:
		return w.time.Duration()
	case strings.HasSuffix(id, "7"):
		return longWork
	}
	return usual
}

// wantBody returns the body of a complete success.
func wantBody(q *Request) string {
	if !shapeOf(q.Shape).Stream {
		return extsim.TaggedBody(q.ID, strings.Repeat(answerBody, max(1, q.Pace.Parts)))
	}
	events := q.Pace.Events
	if events == 0 {
		events = eventCount
	}
	return extsim.TaggedEvents(q.ID, 0, events)
}
