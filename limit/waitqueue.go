package limit

import (
	"context"
	"math"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// Ticket describes a request that waits for admission.
type Ticket struct {
	Workspace string
	// Weight is the workspace's share relative to others; zero means one.
	Weight int
	// Cost is the number of tokens to compute, the quantity shared fairly.
	Cost int
	// Target is the time by which the first token is wanted. A request that
	// can't have its first token by Latest is rejected.
	Target clock.Millis
	Latest clock.Millis
	// TimeToFirstToken is the time from admission to the first token.
	TimeToFirstToken clock.Millis
	// Urgent marks requests for which work has already been done, such as
	// retries. They go first and are not rejected on a predicted wait.
	Urgent bool
	// Try reserves what the request needs and reports whether it succeeded. An
	// error rejects the request. It is called under the queue's lock and must
	// not block.
	Try func() (bool, error)
}

// Queue is the wait queue of the requests that need the same kind of capacity.
// The zero value is ready to use.
type Queue struct {
	Clock clock.Clock
	// MaxWaiting bounds the waiting requests; zero means defaultMaxWaiting.
	MaxWaiting int
	// NoFairShare serves by target alone, regardless of the workspaces.
	// NoEarlyReject disables rejection by the predicted time to first token.
	// They serve as baselines for comparison.
	NoFairShare   bool
	NoEarlyReject bool
	// TardyLast serves requests that miss their targets only while no other
	// request waits, instead of on every tardyInterval-th turn.
	TardyLast bool

	// mu guards the fields below. Methods that take no lock themselves expect it
	// to be held.
	mu        sync.Mutex
	subqueues map[string]*subqueue
	waiting   int
	// serves counts the requests served, to find every tardyInterval-th turn.
	serves int
	// minServed is the largest value of served at which a workspace was picked.
	// A workspace that returns after an idle time starts from it, so that it
	// gets no credit for that time.
	minServed  float64
	throughput throughput
	timer      timer
}

// Parameters of a queue.
const (
	// defaultMaxWaiting is the default of MaxWaiting, in requests.
	defaultMaxWaiting = 1024
	// A request is rejected on arrival if it would miss Latest even after its
	// predicted wait divided by earlyRejectFactor.
	earlyRejectFactor = 2
	// maxFailedTries is the number of requests whose Try finds no capacity after
	// which a dispatch ends.
	maxFailedTries = 4
	// maxOvertakes is how many requests may be served ahead of one whose Try
	// found no capacity. From then on dispatch tries no request behind it.
	maxOvertakes = 16
	// fairnessSlack is how far, in cost divided by weight, a workspace may be
	// ahead of the one furthest behind and still be served by target.
	fairnessSlack = 8192
	// Every tardyInterval-th turn goes to requests that miss their targets.
	tardyInterval = 8
)

// Wait blocks until the request's Try has reserved what it needs, and then returns
// nil. After an error nothing is reserved.
func (q *Queue) Wait(ctx context.Context, t Ticket) error {
	w := &waiter{Ticket: t, result: make(chan error, 1)}
	q.enqueue(w)
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
	}
	if q.abandon(w) {
		return codes.From(ctx.Err()).WithRun(codes.NotRun)
	}
	return <-w.result
}

// TryNow serves the request if its Try succeeds now and no other request waits, or
// if it is urgent. It reports whether the request was served.
func (q *Queue) TryNow(t Ticket) (bool, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting > 0 && !t.Urgent {
		return false, nil
	}
	return t.Try()
}

// Wake serves the waiting requests for which capacity has become free. It doesn't
// block.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch()
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// enqueue serves or rejects the request at once if possible, and otherwise adds it
// to the queue.
func (q *Queue) enqueue(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == 0 && q.tryStart(w) {
		return
	}
	now := q.Clock.Now()
	if err := q.admissionError(w, now); err != nil {
		w.result <- err
		return
	}
	q.push(w, now)
	q.dispatch()
	if w.heap != nil {
		q.scheduleExpiry(now, w.startDeadline())
	}
}

// tryStart calls the request's Try and reports whether it was served or rejected.
func (q *Queue) tryStart(w *waiter) bool {
	done, err := w.Try()
	if done || err != nil {
		w.result <- err
		return true
	}
	return false
}

// admissionError returns the error with which a new request is rejected, or nil if
// it may wait. It may evict another request from a full queue.
func (q *Queue) admissionError(w *waiter, now clock.Millis) error {
	if w.Urgent {
		return nil
	}
	wait := q.predictWait(w, now)
	// The throughput varies with the cost of the waiting requests, so a request
	// is rejected only if the predicted wait is far too long.
	if late := now + wait/earlyRejectFactor + w.TimeToFirstToken - w.Latest; late > 0 && !q.NoEarlyReject {
		return codes.New(codes.DeadlineUnmet, "predicted first token %d ms too late", late).WithRetryAfter(max(late, minRetryAfter))
	}
	limit := q.MaxWaiting
	if limit == 0 {
		limit = defaultMaxWaiting
	}
	if q.waiting < limit {
		return nil
	}
	return q.evictOne(w, wait)
}

// minRetryAfter is the shortest retry delay suggested to a rejected caller.
const minRetryAfter clock.Millis = 50

// evictOne makes space in a full queue: it evicts a request of the workspace with
// the most waiting requests divided by weight. If that is w's own workspace, if
// all its requests are urgent, or without fair sharing, it returns the error that
// rejects w.
func (q *Queue) evictOne(w *waiter, wait clock.Millis) error {
	full := codes.New(codes.QueueFull, "wait queue is full: %d requests waiting", q.waiting).WithRetryAfter(max(wait, minRetryAfter))
	var largest *subqueue
	for _, s := range q.subqueues {
		if s.len() > 0 && (largest == nil || s.weightedLen() > largest.weightedLen()) {
			largest = s
		}
	}
	own := 1 / w.weight()
	if s := q.subqueues[w.Workspace]; s != nil {
		own += s.weightedLen()
	}
	if q.NoFairShare || largest == nil || own >= largest.weightedLen() {
		return full
	}
	evicted := largest.evictable()
	if evicted == nil {
		return full
	}
	q.remove(evicted)
	evicted.result <- full
	return nil
}

// weightedLen returns the number of waiting requests divided by weight.
func (s *subqueue) weightedLen() float64 { return float64(s.len()) / s.weight }

// weight returns the Weight, at least 1.
func (t *Ticket) weight() float64 { return float64(max(1, t.Weight)) }

// predictWait returns how long the request would wait: behind all requests that
// can make their targets, or behind those of its own workspace at its fair share,
// whichever is less. It returns 0 if the throughput is not known.
func (q *Queue) predictWait(w *waiter, now clock.Millis) clock.Millis {
	rate := q.throughput.rate(now)
	if rate <= 0 || q.waiting == 0 {
		return 0
	}
	all, weights := w.Cost, w.weight()
	own := w.Cost
	for _, s := range q.subqueues {
		if s.timely.Len() == 0 {
			continue
		}
		all += s.timelyCost
		if s.workspace == w.Workspace {
			own += s.timelyCost
			continue
		}
		weights += s.weight
	}
	wait := float64(all) / rate
	if !q.NoFairShare {
		wait = min(wait, float64(own)/(rate*w.weight()/weights))
	}
	return clock.Millis(min(wait, math.MaxInt32))
}

// push adds the request to the subqueue of its workspace.
func (q *Queue) push(w *waiter, now clock.Millis) {
	if q.subqueues == nil {
		q.subqueues = make(map[string]*subqueue)
	}
	s := q.subqueues[w.Workspace]
	if s == nil {
		s = newSubqueue(w.Workspace)
		q.subqueues[w.Workspace] = s
	}
	if s.len() == 0 {
		s.served = max(s.served, q.minServed)
	}
	s.weight = w.weight()
	if q.waiting == 0 {
		q.throughput.start(now)
	}
	s.push(w, now)
	q.waiting++
}

// remove takes a request out of the queue without serving it.
func (q *Queue) remove(w *waiter) {
	w.subqueue.remove(w)
	q.recordDequeue(q.Clock.Now())
}

// recordDequeue counts a request that left the queue. When the queue becomes empty,
// its fair-share state is reset.
func (q *Queue) recordDequeue(now clock.Millis) {
	q.waiting--
	if q.waiting == 0 {
		q.throughput.stop(now)
		clear(q.subqueues)
		q.minServed = 0
	}
}

// abandon removes a request whose context has ended. It returns false if the request
// was already served or rejected.
func (q *Queue) abandon(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.heap == nil {
		return false
	}
	q.remove(w)
	q.dispatch()
	return true
}

// dispatch serves requests in order. It ends once maxFailedTries of them found no
// capacity, or one that maxOvertakes others have overtaken. These return to the
// queue. It rejects those that can no longer start in time, since the timer may be
// late. The caller holds the lock.
func (q *Queue) dispatch() {
	if q.waiting == 0 {
		return
	}
	now := q.Clock.Now()
	var tried []*waiter
	for len(tried) < maxFailedTries {
		w := q.next(now)
		if w == nil {
			break
		}
		if w.startDeadline() < now {
			q.reject(w)
			continue
		}
		s := w.subqueue
		s.remove(w)
		if !q.tryStart(w) {
			tried = append(tried, w)
			if w.overtaken >= maxOvertakes {
				break
			}
			continue
		}
		q.recordServe(w, now)
		for _, other := range tried {
			other.overtaken++
		}
	}
	for _, w := range tried {
		w.subqueue.push(w, now)
	}
}

// recordServe charges a served request, which is already out of its heap, to its
// workspace.
func (q *Queue) recordServe(w *waiter, now clock.Millis) {
	s := w.subqueue
	q.serves++
	q.minServed = max(q.minServed, s.served)
	s.served += float64(w.Cost) / s.weight
	q.throughput.add(now, w.Cost)
	q.recordDequeue(now)
}

// next returns the request to serve next, or nil if the queue is empty.
func (q *Queue) next(now clock.Millis) *waiter {
	least := math.Inf(1)
	for _, s := range q.subqueues {
		s.moveTardy(now)
		if s.len() > 0 {
			least = min(least, s.served)
		}
	}
	var timely, tardy *waiter
	for _, s := range q.subqueues {
		if !q.NoFairShare && s.served > least+fairnessSlack {
			continue
		}
		timely = earlier(timely, s.timely.peek(), s.timely.startBy)
		tardy = earlier(tardy, s.tardy.peek(), s.tardy.startBy)
	}
	if timely == nil || tardy != nil && !q.TardyLast && q.serves%tardyInterval == tardyInterval-1 {
		return tardy
	}
	return timely
}

// earlier returns the request that goes first: an urgent one, then the one with
// the smaller startBy. Either may be nil.
func earlier(a, b *waiter, startBy func(*waiter) clock.Millis) *waiter {
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
	case startBy(b) < startBy(a):
		return b
	}
	return a
}
