package limit

import (
	"context"
	"math"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// Ticket is one request that wants to start.
type Ticket struct {
	Workspace string
	// Weight is the workspace's share against others; zero reads as one.
	Weight int
	// Cost is what is shared out fairly: the tokens to compute.
	Cost int
	// Target is the instant by which the first token is wanted, and Latest
	// the one after which it is not worth to begin.
	Target clock.Millis
	Latest clock.Millis
	// Need is the time from the start to the first token.
	Need clock.Millis
	// Urgent requests have had work done already: they go first and are not
	// refused for a prediction.
	Urgent bool
	// Try takes what the request needs and reports whether it could. An error
	// refuses the request. It is called under the line's lock and must not
	// block.
	Try func() (bool, error)
}

// Line is the line of requests that wait for the same kind of capacity. The
// zero value is ready.
type Line struct {
	Clock clock.Clock
	// Max bounds the requests in the line; zero is defaultMax.
	Max int
	// Unfair serves by target alone, and Hopeful refuses nothing by a
	// predicted first token. They are there for comparison.
	Unfair  bool
	Hopeful bool
	// Strict serves those that can't make their targets only while no other
	// waits, in place of every tardyTurn-th time.
	Strict bool

	mu     sync.Mutex
	spaces map[string]*space
	n      int
	turns  int
	// floor is the largest cost by weight at which a workspace was served:
	// one that was idle can't claim the time that it was away.
	floor float64
	speed speed
	timer timer
}

// Bounds of a line.
const (
	defaultMax = 1024
	// refuseFrom is how many times the predicted wait has to be too long for a
	// request to be refused at once.
	refuseFrom = 2
	// maxTries bounds the requests that are tried in a row without room.
	maxTries = 4
	// maxPassed is how often others may be served past a request that found
	// no room.
	maxPassed = 16
	// fairSlack is how far, in cost by weight, a workspace may be ahead of
	// the one furthest behind and still be served by its target.
	fairSlack = 8192
	// tardyTurn gives every so many turns to those that are late.
	tardyTurn = 8
)

// Wait returns nil once the request's Try has taken what it needs. An error
// says that it has not and will not.
func (l *Line) Wait(ctx context.Context, t Ticket) error {
	w := &waiter{Ticket: t, ready: make(chan error, 1)}
	l.enter(w)
	select {
	case err := <-w.ready:
		return err
	case <-ctx.Done():
	}
	if l.leave(w) {
		return codes.From(ctx.Err()).WithRun(codes.NotRun)
	}
	return <-w.ready
}

// Wake serves the requests for which there is room now. It doesn't block.
func (l *Line) Wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pump()
}

// Len returns the number of requests in the line.
func (l *Line) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.n
}

func (l *Line) enter(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.n == 0 && l.attempt(w) {
		return
	}
	now := l.Clock.Now()
	if err := l.refusal(w, now); err != nil {
		w.ready <- err
		return
	}
	l.push(w, now)
	l.pump()
	if w.heap != nil {
		l.setTimer(now, w.hopeless())
	}
}

// attempt tries a request and reports whether it is settled.
func (l *Line) attempt(w *waiter) bool {
	done, err := w.Try()
	if done || err != nil {
		w.ready <- err
		return true
	}
	return false
}

// refusal says why a request is not let into the line, if so.
func (l *Line) refusal(w *waiter, now clock.Millis) error {
	if w.Urgent {
		return nil
	}
	wait := l.predict(w, now)
	// The line's speed swings with what the waiting ones need, so that only a
	// prediction that is well past the latest instant is sure enough.
	if late := now + wait/refuseFrom + w.Need - w.Latest; late > 0 && !l.Hopeful {
		return codes.New(codes.DeadlineUnmet, "first token predicted %d ms too late", late).WithRetry(max(late, minRetry))
	}
	limit := l.Max
	if limit == 0 {
		limit = defaultMax
	}
	if l.n < limit {
		return nil
	}
	return l.makeRoom(w, wait)
}

// minRetry is the least time after which a refused caller is told to try
// again.
const minRetry clock.Millis = 50

// makeRoom lets the workspace with the most requests by weight give one up,
// which may be the new one.
func (l *Line) makeRoom(w *waiter, wait clock.Millis) error {
	full := codes.New(codes.QueueFull, "%d requests wait", l.n).WithRetry(max(wait, minRetry))
	var largest *space
	for _, s := range l.spaces {
		if s.len() > 0 && (largest == nil || s.backlog() > largest.backlog()) {
			largest = s
		}
	}
	mine := 1 / w.weight()
	if s := l.spaces[w.Workspace]; s != nil {
		mine += s.backlog()
	}
	if l.Unfair || largest == nil || mine >= largest.backlog() {
		return full
	}
	victim := largest.last()
	if victim == nil {
		return full
	}
	l.remove(victim)
	victim.ready <- full
	return nil
}

func (s *space) backlog() float64 { return float64(s.len()) / s.weight }

func (t *Ticket) weight() float64 { return float64(max(1, t.Weight)) }

// predict returns how long the request would wait: behind all that can make
// their targets, or behind those of its workspace at its share, whichever is
// less.
func (l *Line) predict(w *waiter, now clock.Millis) clock.Millis {
	rate := l.speed.rate(now)
	if rate <= 0 || l.n == 0 {
		return 0
	}
	all, weights := w.Cost, w.weight()
	own := w.Cost
	for _, s := range l.spaces {
		if s.timely.Len() == 0 {
			continue
		}
		all += s.cost
		if s.name == w.Workspace {
			own += s.cost
			continue
		}
		weights += s.weight
	}
	wait := float64(all) / rate
	if !l.Unfair {
		wait = min(wait, float64(own)/(rate*w.weight()/weights))
	}
	return clock.Millis(min(wait, math.MaxInt32))
}

func (l *Line) push(w *waiter, now clock.Millis) {
	if l.spaces == nil {
		l.spaces = make(map[string]*space)
	}
	s := l.spaces[w.Workspace]
	if s == nil {
		s = newSpace(w.Workspace)
		l.spaces[w.Workspace] = s
	}
	if s.len() == 0 {
		s.served = max(s.served, l.floor)
	}
	s.weight = w.weight()
	if l.n == 0 {
		l.speed.start(now)
	}
	s.push(w, now)
	l.n++
}

func (l *Line) remove(w *waiter) {
	w.space.remove(w)
	l.left(l.Clock.Now())
}

// left counts a request that is out of the line. An empty line forgets its
// workspaces.
func (l *Line) left(now clock.Millis) {
	l.n--
	if l.n == 0 {
		l.speed.stop(now)
		clear(l.spaces)
		l.floor = 0
	}
}

func (l *Line) leave(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.heap == nil {
		return false
	}
	l.remove(w)
	l.pump()
	return true
}

// pump serves requests in their order until several in a row find no room.
func (l *Line) pump() {
	if l.n == 0 {
		return
	}
	now := l.Clock.Now()
	var tried []*waiter
	for len(tried) < maxTries {
		w := l.next(now)
		if w == nil {
			break
		}
		s := w.space
		s.remove(w)
		if !l.attempt(w) {
			tried = append(tried, w)
			if w.passed >= maxPassed {
				break
			}
			continue
		}
		l.settled(w, now)
		for _, other := range tried {
			other.passed++
		}
	}
	for _, w := range tried {
		w.space.push(w, now)
	}
}

// settled counts a request that was served and is out of its heap.
func (l *Line) settled(w *waiter, now clock.Millis) {
	s := w.space
	l.turns++
	l.floor = max(l.floor, s.served)
	s.served += float64(w.Cost) / s.weight
	l.speed.add(now, w.Cost)
	l.left(now)
}

// next returns the request whose turn it is.
func (l *Line) next(now clock.Millis) *waiter {
	behind := math.Inf(1)
	for _, s := range l.spaces {
		s.age(now)
		if s.len() > 0 {
			behind = min(behind, s.served)
		}
	}
	var timely, tardy *waiter
	for _, s := range l.spaces {
		if !l.Unfair && s.served > behind+fairSlack {
			continue
		}
		timely = earlier(timely, s.timely.head(), s.timely.until)
		tardy = earlier(tardy, s.tardy.head(), s.tardy.until)
	}
	if timely == nil || tardy != nil && !l.Strict && l.turns%tardyTurn == tardyTurn-1 {
		return tardy
	}
	return timely
}

func earlier(a, b *waiter, until func(*waiter) clock.Millis) *waiter {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.Urgent != b.Urgent:
		if a.Urgent {
			return a
		}
		return b
	case until(b) < until(a):
		return b
	}
	return a
}
