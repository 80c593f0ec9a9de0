package limit

import (
	"math"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// timer is the one timer of a line.
type timer struct {
	at   clock.Millis
	stop func() bool
}

// setTimer sees to it that the timer fires when a request becomes hopeless;
// the caller holds the lock.
func (l *Line) setTimer(now, hopeless clock.Millis) {
	if l.timer.stop != nil {
		if l.timer.at <= hopeless {
			return
		}
		l.timer.stop()
	}
	l.timer.at = hopeless
	l.timer.stop = l.Clock.AfterFunc(max(1, hopeless+1-now), l.expire)
}

// expire runs when the timer fires.
func (l *Line) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	l.timer.stop = nil
	next := l.refuseHopeless(now)
	l.pump()
	if l.n > 0 {
		l.setTimer(now, next)
	}
}

func (l *Line) each(f func(*waiter)) {
	for _, s := range l.spaces {
		for _, q := range []*waiters{&s.timely, &s.tardy} {
			for _, w := range q.list {
				f(w)
			}
		}
	}
}

// refuseHopeless refuses what can't make its latest instant any more, and
// returns the instant at which the next one can't.
func (l *Line) refuseHopeless(now clock.Millis) clock.Millis {
	next := clock.Millis(math.MaxInt64 / 2)
	var gone []*waiter
	l.each(func(w *waiter) {
		if w.hopeless() < now {
			gone = append(gone, w)
			return
		}
		next = min(next, w.hopeless())
	})
	for _, w := range gone {
		l.remove(w)
		w.ready <- codes.New(codes.DeadlineUnmet, "no room in time").WithRetry(minRetry)
	}
	return next
}

// speed is the rate at which a line that isn't empty is served.
type speed struct {
	// time and cost are sums in which older times weigh less.
	time float64
	cost float64
	// from is the instant up to which time is counted, if running.
	from    clock.Millis
	running bool
}

// Bounds of the speed's memory, in milliseconds.
const (
	speedWindow = 1000
	speedLeast  = 100
)

func (s *speed) start(now clock.Millis) {
	s.from = now
	s.running = true
}

func (s *speed) stop(now clock.Millis) {
	s.advance(now)
	s.running = false
}

func (s *speed) advance(now clock.Millis) {
	if !s.running {
		return
	}
	s.time += float64(now - s.from)
	s.from = now
	if s.time > 2*speedWindow {
		s.cost *= speedWindow / s.time
		s.time = speedWindow
	}
}

func (s *speed) add(now clock.Millis, cost int) {
	s.advance(now)
	s.cost += float64(cost)
}

// rate returns the cost served in a millisecond, or zero if too little is
// known.
func (s *speed) rate(now clock.Millis) float64 {
	s.advance(now)
	if s.time < speedLeast {
		return 0
	}
	return s.cost / s.time
}
