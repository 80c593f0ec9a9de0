package limit

import (
	"math"

	"lacewinghook.example/lacewinghook/clock"
)

// kind identifies requests that are counted together: those of one workspace with one
// priority.
type kind struct {
	priority  int
	workspace string
}

// kind returns the request's kind.
func (t *Ticket) kind() kind { return kind{t.Priority, t.Workspace} }

// What requests get that wait behind more urgent ones. Each kind must be served at least
// a quarter as often as all requests, in shares of those that ended, and the large
// requests of a kind half as often as the kind. The shares have a margin of a fifth,
// since the counts decay and a turn may find no capacity.
const (
	// minKindShare is the least share of a kind relative to that of all requests, and
	// minLargeShare that of the large requests of a kind relative to the kind's.
	minKindShare  = 0.3
	minLargeShare = 0.6
	// Every starvedInterval-th turn goes to requests with less than their share. It
	// must be less than 1/minKindShare.
	starvedInterval = 3
	// largeFactor is the cost of a large request relative to the mean of its kind.
	largeFactor = 1.5
	// maxStarvedOvertakes is how many requests may be served ahead of one that has such
	// a turn and finds no capacity: few, since a large one must find the memory within
	// its patience.
	maxStarvedOvertakes = 2
	// minOutcomes is the number of outcomes of a kind below which its share is not
	// known, and minLargeOutcomes that of its large requests, which are few.
	minOutcomes      = 3
	minLargeOutcomes = 0.5
	// outcomeWindow is the time constant with which outcomes are forgotten: about two
	// bursts.
	outcomeWindow = 10 * clock.Second
)

// outcomes counts, for each kind, the requests that were served and rejected. Requests
// that are abandoned aren't counted: they may be asked for again. The zero value is ready
// to use.
type outcomes struct {
	kinds map[kind]*outcome
	all   tally
	at    clock.Millis
}

// outcome is what became of the requests of one kind.
type outcome struct {
	all, large tally
	// cost is the cost of the requests in all.
	cost float64
}

// tally counts requests.
type tally struct{ served, rejected float64 }

// add counts a request.
func (t *tally) add(served bool) {
	if served {
		t.served++
	} else {
		t.rejected++
	}
}

// scale multiplies the counts.
func (t *tally) scale(f float64) { t.served *= f; t.rejected *= f }

// total returns the number of requests.
func (t tally) total() float64 { return t.served + t.rejected }

// share returns the share that was served. ok is false if fewer than least requests were
// counted.
func (t tally) share(least float64) (share float64, ok bool) {
	if t.total() < least {
		return 0, false
	}
	return t.served / t.total(), true
}

// decay forgets old outcomes, and kinds of which little is left.
func (o *outcomes) decay(now clock.Millis) {
	f := math.Exp(-float64(now-o.at) / float64(outcomeWindow))
	o.at = now
	if f >= 1 {
		return
	}
	o.all.scale(f)
	for k, c := range o.kinds {
		c.all.scale(f)
		c.large.scale(f)
		c.cost *= f
		if c.all.total() < 1.0/minOutcomes {
			delete(o.kinds, k)
		}
	}
}

// add counts a request that was served or rejected.
func (o *outcomes) add(t *Ticket, now clock.Millis, served bool) {
	o.decay(now)
	if o.kinds == nil {
		o.kinds = make(map[kind]*outcome)
	}
	c := o.kinds[t.kind()]
	if c == nil {
		c = &outcome{}
		o.kinds[t.kind()] = c
	}
	o.all.add(served)
	c.all.add(served)
	c.cost += float64(t.Cost)
	if c.isLarge(t) {
		c.large.add(served)
	}
}

// isLarge reports whether a request is large for its kind.
func (c *outcome) isLarge(t *Ticket) bool {
	return float64(t.Cost)*c.all.total() > largeFactor*c.cost
}

// share returns the part of all requests that are of a kind, or zero if there are no
// others.
func (o *outcomes) share(k kind, now clock.Millis) float64 {
	o.decay(now)
	c := o.kinds[k]
	if c == nil || len(o.kinds) < 2 {
		return 0
	}
	return c.all.total() / o.all.total()
}

// starved returns how far a kind is below its least share, and its large requests below
// theirs, as a factor of at most 1; 1 if they aren't.
func (o *outcomes) starved(c *outcome) (all, large float64) {
	all, large = 1, 1
	overall, known := o.all.share(minOutcomes)
	own, ownKnown := c.all.share(minOutcomes)
	if !known || !ownKnown || overall == 0 {
		return all, large
	}
	all = min(1, own/(minKindShare*overall))
	if l, ok := c.large.share(minLargeOutcomes); ok && own > 0 {
		large = min(1, l/(minLargeShare*own))
	}
	return all, large
}

// nextStarved returns the request to serve next if this is a turn of the requests that
// got less than their share, or nil if it isn't or there are none. There are none while
// all requests are of one kind.
func (q *Queue) nextStarved(now clock.Millis) *waiter {
	if q.serves%starvedInterval != starvedInterval-1 || len(q.outcomes.kinds) < 2 {
		return nil
	}
	q.outcomes.decay(now)
	var found *waiter
	least := 1.0
	for k, s := range q.subqueues {
		c := q.outcomes.kinds[k]
		if c == nil || s.len() == 0 {
			continue
		}
		all, large := q.outcomes.starved(c)
		if all < least {
			if w := s.first(func(*waiter) bool { return true }); w != nil {
				found, least = w, all
			}
		}
		if large < least {
			if w := s.first(func(w *waiter) bool { return c.isLarge(&w.Ticket) }); w != nil {
				found, least = w, large
			}
		}
	}
	return found
}

// first returns the request that goes first of those that match, or nil.
func (s *subqueue) first(match func(*waiter) bool) *waiter {
	for _, h := range []*waiterHeap{&s.timely, &s.tardy} {
		var found *waiter
		for _, w := range h.items {
			if match(w) {
				found = earlier(found, w, h.startBy)
			}
		}
		if found != nil {
			return found
		}
	}
	return nil
}
