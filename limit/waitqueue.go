package limit

import (
	"context"
	"math"
	"slices"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// Ticket describes a request that waits for admission.
type Ticket struct {
	Workspace string
	// Priority orders requests before anything but Urgent; 0 is the most urgent.
	Priority int
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
	// retries. They go first, whatever their priority, since that work would be lost,
	// and are not rejected on a predicted wait.
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
	subqueues map[kind]*subqueue
	waiting   int
	// outcomes counts what became of the requests of each kind.
	outcomes outcomes
	// serves counts the requests served, to find every tardyInterval-th turn.
	serves int
	// minServed is the largest value of served, by priority, at which a workspace was
	// picked. A workspace that returns after an idle time starts from it, so that it
	// gets no credit for that time.
	minServed  map[int]float64
	throughput throughput
	returns    returns
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

// TryNow serves the request if its Try succeeds now and no other request goes first,
// or if it is urgent. It reports whether the request was served.
func (q *Queue) TryNow(t Ticket) (bool, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	if !t.Urgent && !q.goesFirst(&t, now) {
		return false, nil
	}
	ok, err := t.Try()
	if ok {
		q.recordImmediate(&t, now)
	}
	return ok, err
}

// goesFirst reports whether a request that arrives now is served before all that wait.
func (q *Queue) goesFirst(t *Ticket, now clock.Millis) bool {
	if q.waiting == 0 {
		return true
	}
	for k, s := range q.subqueues {
		if s.len() > 0 && (k.priority <= t.Priority || s.hasUrgent()) {
			return false
		}
	}
	// A turn of those that wait behind more urgent requests is not passed over.
	return q.nextStarved(now) == nil
}

// recordImmediate counts a request that was served on arrival. Its capacity was free,
// so it counts towards the throughput only if it was taken ahead of others.
func (q *Queue) recordImmediate(t *Ticket, now clock.Millis) {
	q.outcomes.add(t, now, true)
	if q.waiting > 0 && !t.Urgent {
		q.serves++
		q.throughput.add(now, t.Cost)
	}
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

// Ahead returns the number of waiting requests that are at least as urgent as priority.
func (q *Queue) Ahead(priority int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for k, s := range q.subqueues {
		if k.priority <= priority {
			n += s.len()
		}
	}
	return n
}

// enqueue serves or rejects the request at once if possible, and otherwise adds it
// to the queue.
func (q *Queue) enqueue(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	if q.goesFirst(&w.Ticket, now) {
		if done, served := q.tryStart(w); done {
			if served {
				q.recordImmediate(&w.Ticket, now)
			}
			return
		}
	}
	if err := q.admissionError(w, now); err != nil {
		q.outcomes.add(&w.Ticket, now, false)
		w.result <- err
		return
	}
	q.push(w, now)
	q.dispatch()
	if w.heap != nil {
		q.scheduleExpiry(now, w.startDeadline())
	}
}

// tryStart calls the request's Try and reports whether it was served or rejected, and
// whether it was served.
func (q *Queue) tryStart(w *waiter) (done, served bool) {
	ok, err := w.Try()
	if ok || err != nil {
		w.result <- err
	}
	return ok || err != nil, err == nil && ok
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
		return q.withRetryAfter(codes.New(codes.DeadlineUnmet, "predicted first token %d ms too late", late), &w.Ticket, now)
	}
	limit := q.MaxWaiting
	if limit == 0 {
		limit = defaultMaxWaiting
	}
	if q.waiting < limit {
		return nil
	}
	return q.evictOne(w, now)
}

// evictOne makes space in a full queue: it evicts a request of the least urgent
// priority that is behind w's, or of w's own, there of the workspace with the most
// waiting requests divided by weight. If no request is less urgent and that is w's own
// workspace, if all its requests are urgent, or without fair sharing, it returns the
// error that rejects w.
func (q *Queue) evictOne(w *waiter, now clock.Millis) error {
	full := codes.New(codes.QueueFull, "wait queue is full: %d requests waiting", q.waiting)
	evicted := q.lessUrgent(w.Priority)
	if evicted == nil {
		evicted = q.unfair(w)
	}
	if evicted == nil {
		return q.withRetryAfter(full, &w.Ticket, now)
	}
	q.remove(evicted)
	q.outcomes.add(&evicted.Ticket, now, false)
	evicted.result <- q.withRetryAfter(full, &evicted.Ticket, now)
	return nil
}

// lessUrgent returns the request to evict of those with a larger priority, or nil.
func (q *Queue) lessUrgent(priority int) *waiter {
	var from *subqueue
	var found *waiter
	for k, s := range q.subqueues {
		if k.priority <= priority || from != nil && (k.priority < from.priority ||
			k.priority == from.priority && s.weightedLen() <= from.weightedLen()) {
			continue
		}
		if w := s.evictable(); w != nil {
			from, found = s, w
		}
	}
	return found
}

// unfair returns the request to evict for w of another workspace with the same
// priority, or nil.
func (q *Queue) unfair(w *waiter) *waiter {
	var largest *subqueue
	for k, s := range q.subqueues {
		if k.priority == w.Priority && s.len() > 0 && (largest == nil || s.weightedLen() > largest.weightedLen()) {
			largest = s
		}
	}
	own := 1 / w.weight()
	if s := q.subqueues[w.kind()]; s != nil {
		own += s.weightedLen()
	}
	if q.NoFairShare || largest == nil || own >= largest.weightedLen() {
		return nil
	}
	return largest.evictable()
}

// weightedLen returns the number of waiting requests divided by weight.
func (s *subqueue) weightedLen() float64 { return float64(s.len()) / s.weight }

// weight returns the Weight, at least 1.
func (t *Ticket) weight() float64 { return float64(max(1, t.Weight)) }

// predictWait returns how long the request would wait: behind all more urgent requests,
// and behind those of its priority that can make their targets, or those of its own
// workspace at its fair share, whichever is less; but no longer than behind those of its
// kind at the share of the turns that the kind gets in any case. It returns 0 if the
// throughput is not known.
func (q *Queue) predictWait(w *waiter, now clock.Millis) clock.Millis {
	rate := q.throughput.rate(now)
	if rate <= 0 || q.waiting == 0 {
		return 0
	}
	first := 0
	all, weights := w.Cost, w.weight()
	own := w.Cost
	for k, s := range q.subqueues {
		if k.priority < w.Priority {
			first += s.timelyCost + s.tardyCost
		}
		if k.priority != w.Priority || s.timely.Len() == 0 {
			continue
		}
		all += s.timelyCost
		if k.workspace == w.Workspace {
			own += s.timelyCost
			continue
		}
		weights += s.weight
	}
	wait := float64(all) / rate
	if !q.NoFairShare {
		wait = min(wait, float64(own)/(rate*w.weight()/weights))
	}
	wait += float64(first) / rate
	if share := q.outcomes.share(w.kind(), now); first > 0 && share > 0 {
		wait = min(wait, float64(own)/(rate*minKindShare*share))
	}
	return millis(wait)
}

// push adds the request to the subqueue of its workspace.
func (q *Queue) push(w *waiter, now clock.Millis) {
	if q.subqueues == nil {
		q.subqueues = make(map[kind]*subqueue)
	}
	s := q.subqueues[w.kind()]
	if s == nil {
		s = newSubqueue(w.kind())
		q.subqueues[w.kind()] = s
	}
	if s.len() == 0 {
		s.served = max(s.served, q.minServed[w.Priority])
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
		clear(q.minServed)
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
	// A turn of those with less than their share lasts until one of them is served.
	turn := q.serves
	starvedTried := false
	for len(tried) < maxFailedTries {
		w, starved := q.next(now)
		if w == nil {
			break
		}
		if w.startDeadline() < now {
			q.reject(w)
			continue
		}
		s := w.subqueue
		s.remove(w)
		done, served := q.tryStart(w)
		if !done {
			tried = append(tried, w)
			starvedTried = starvedTried || starved
			if w.overtaken >= maxOvertakes || starved && w.overtaken >= maxStarvedOvertakes {
				break
			}
			continue
		}
		q.recordServe(w, now)
		if starvedTried && !starved {
			q.serves = turn
		}
		if served {
			q.outcomes.add(&w.Ticket, now, true)
		}
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
	if q.minServed == nil {
		q.minServed = make(map[int]float64)
	}
	q.minServed[w.Priority] = max(q.minServed[w.Priority], s.served)
	s.served += float64(w.Cost) / s.weight
	q.throughput.add(now, w.Cost)
	q.recordDequeue(now)
}

// next returns the request to serve next, or nil if the queue is empty. starved reports
// whether it is served since it got less than its share.
func (q *Queue) next(now clock.Millis) (next *waiter, starved bool) {
	for _, s := range q.subqueues {
		s.moveTardy(now)
	}
	if w := q.nextStarved(now); w != nil {
		return w, true
	}
	var first *waiter
	for _, priority := range q.priorities() {
		w := q.nextOf(priority)
		if w != nil && (first == nil || w.Urgent && !first.Urgent) {
			first = w
		}
	}
	return first, false
}

// priorities returns those of the waiting requests, the most urgent first.
func (q *Queue) priorities() []int {
	var all []int
	for k, s := range q.subqueues {
		if s.len() > 0 && !slices.Contains(all, k.priority) {
			all = append(all, k.priority)
		}
	}
	slices.Sort(all)
	return all
}

// nextOf returns the request to serve next of those with a priority, or nil.
func (q *Queue) nextOf(priority int) *waiter {
	least := math.Inf(1)
	for k, s := range q.subqueues {
		if k.priority == priority && s.len() > 0 {
			least = min(least, s.served)
		}
	}
	var timely, tardy *waiter
	for k, s := range q.subqueues {
		if k.priority != priority || !q.NoFairShare && s.served > least+fairnessSlack {
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
