package limit

import (
	"math"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// timer is the one timer of a queue. stop is nil while it isn't set.
type timer struct {
	at   clock.Millis
	stop func() bool
}

// scheduleExpiry makes the timer fire once startDeadline has passed, unless it
// already fires earlier. The caller holds the lock.
func (q *Queue) scheduleExpiry(now, startDeadline clock.Millis) {
	if q.timer.stop != nil {
		if q.timer.at <= startDeadline {
			return
		}
		q.timer.stop()
	}
	q.timer.at = startDeadline
	q.timer.stop = q.Clock.AfterFunc(max(1, startDeadline+1-now), q.onTimer)
}

// onTimer rejects the expired requests and sets the timer for the next one to
// expire.
func (q *Queue) onTimer() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	q.timer.stop = nil
	next := q.rejectExpired(now)
	q.dispatch()
	if q.waiting > 0 {
		q.scheduleExpiry(now, next)
	}
}

// each calls f for every waiting request.
func (q *Queue) each(f func(*waiter)) {
	for _, s := range q.subqueues {
		for _, h := range []*waiterHeap{&s.timely, &s.tardy} {
			for _, w := range h.items {
				f(w)
			}
		}
	}
}

// rejectExpired rejects the requests that can no longer start in time and returns
// the earliest startDeadline of the rest.
func (q *Queue) rejectExpired(now clock.Millis) clock.Millis {
	next := clock.Millis(math.MaxInt64 / 2)
	var expired []*waiter
	q.each(func(w *waiter) {
		if w.startDeadline() < now {
			expired = append(expired, w)
			return
		}
		next = min(next, w.startDeadline())
	})
	for _, w := range expired {
		q.reject(w)
	}
	return next
}

// reject rejects a request that can no longer start in time.
func (q *Queue) reject(w *waiter) {
	q.remove(w)
	now := q.Clock.Now()
	q.outcomes.add(&w.Ticket, now, false)
	w.result <- q.withRetryAfter(codes.New(codes.DeadlineUnmet, "no capacity became free in time"), &w.Ticket, now)
}

// throughput measures the cost served per millisecond while the queue is not
// empty. The wait of a new request is predicted from it.
type throughput struct {
	// elapsed, in milliseconds, and cost are sums that decay with time.
	elapsed float64
	cost    float64
	// countedTo is the time up to which elapsed is counted while running.
	countedTo clock.Millis
	running   bool
}

// Bounds of elapsed, in milliseconds. At twice throughputWindow both sums are
// scaled back to it; below minThroughputSample the rate is not known.
const (
	throughputWindow    = 1000
	minThroughputSample = 100
)

// start begins counting when the queue gets its first request.
func (t *throughput) start(now clock.Millis) {
	t.countedTo = now
	t.running = true
}

// stop ends counting when the queue is empty.
func (t *throughput) stop(now clock.Millis) {
	t.advance(now)
	t.running = false
}

// advance adds the time since countedTo and decays the sums.
func (t *throughput) advance(now clock.Millis) {
	if !t.running {
		return
	}
	t.elapsed += float64(now - t.countedTo)
	t.countedTo = now
	if t.elapsed > 2*throughputWindow {
		t.cost *= throughputWindow / t.elapsed
		t.elapsed = throughputWindow
	}
}

// add counts a served request.
func (t *throughput) add(now clock.Millis, cost int) {
	t.advance(now)
	t.cost += float64(cost)
}

// rate returns the cost served per millisecond, or zero if the sample is too
// short.
func (t *throughput) rate(now clock.Millis) float64 {
	t.advance(now)
	if t.elapsed < minThroughputSample {
		return 0
	}
	return t.cost / t.elapsed
}
