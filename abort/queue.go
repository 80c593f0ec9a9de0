package abort

import (
	"context"
	"math/rand/v2"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/limit"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/shard"
)

// Engines sends cancels to model engines.
type Engines interface {
	// Cancel frees the memory that the engine holds for the request, up to the
	// given attempt, and reports whether the engine had the request. The error
	// [codes.Superseded] means that a newer attempt holds the request.
	Cancel(ctx context.Context, up core.Upstream, id core.ID, attempt core.Attempt) (known bool, err error)
}

// Upstreams reports whether an upstream is published.
type Upstreams interface {
	Published(name string) bool
}

// Queue holds the unconfirmed cancels and retries them. Engines is required;
// the other fields may be zero.
type Queue struct {
	Engines Engines
	// Upstreams, if not nil, makes the queue drop cancels for upstreams that
	// are no longer published.
	Upstreams Upstreams
	Clock     clock.Clock
	Meter     *meter.Registry

	// pending holds the unconfirmed cancels.
	pending shard.Map[key, *pendingCancel]

	// mu guards the fields below. count is the number of running retry loops.
	mu    sync.Mutex
	count int
	// idle is closed when count reaches zero.
	idle    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	closed  bool
	running sync.WaitGroup
}

// key identifies a cancel. One cancel covers all attempts of the request up to
// its own.
type key struct {
	upstream string
	id       core.ID
}

// pendingCancel is one unconfirmed cancel and the instant at which it was added.
type pendingCancel struct {
	cancel core.Cancel
	since  clock.Millis
}

// backoff is the delay between the tries of one cancel: 20 ms to 2 s.
var backoff = limit.Backoff{Base: 20, Max: 2 * clock.Second}

// Timeouts and delays of one cancel.
const (
	// callTimeout bounds one try.
	callTimeout = 2 * clock.Second
	minBackoff  = 20 * clock.Millis(1)
	maxBackoff  = 2 * clock.Second
	// overtakeDelay is the time within which a responsive engine has processed
	// a call that was sent earlier.
	overtakeDelay = 500 * clock.Millis(1)
)

// Add enqueues a cancel and returns at once. A second cancel of the same
// request at the same upstream is merged into the first, with the higher
// attempt.
func (q *Queue) Add(c core.Cancel) {
	k := key{c.Upstream.Name, c.ID}
	added := &pendingCancel{cancel: c, since: q.Clock.Now()}
	joined := false
	q.pending.Update(k, func(p *pendingCancel, ok bool) (*pendingCancel, bool) {
		joined = ok
		if !ok {
			return added, true
		}
		merged := *p
		merged.cancel.Attempt = max(p.cancel.Attempt, c.Attempt)
		merged.cancel.Answered = p.cancel.Answered && c.Answered
		return &merged, true
	})
	if !joined {
		q.start(k)
	}
}

// start runs the retries of a new cancel in a goroutine, unless the queue is
// closed.
func (q *Queue) start(k key) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		q.pending.Delete(k)
		return
	}
	if q.ctx == nil {
		q.ctx, q.cancel = context.WithCancel(context.Background())
	}
	if q.count == 0 {
		q.idle = make(chan struct{})
	}
	q.count++
	q.running.Go(func() {
		q.retryUntilConfirmed(q.ctx, k)
		q.decrement()
	})
}

// decrement counts a cancel as ended and wakes Wait after the last one.
func (q *Queue) decrement() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.count--
	if q.count == 0 {
		close(q.idle)
	}
}

// retryUntilConfirmed sends a cancel until it is confirmed, its upstream is no
// longer published or the queue is closed.
func (q *Queue) retryUntilConfirmed(ctx context.Context, k key) {
	answered := false
	for n := 1; ; n++ {
		p, ok := q.pending.Get(k)
		if !ok {
			return
		}
		result := q.send(ctx, p.cancel)
		if isFinal(p.cancel, result, answered) && q.remove(k, p) {
			return
		}
		pause := backoff.Delay(n, rand.Uint64())
		if result == failed {
			q.Meter.Add("cancel_retries_total", 1)
		} else {
			answered, pause = true, overtakeDelay
		}
		if q.unpublished(k) || q.Clock.Sleep(ctx, pause) != nil {
			q.pending.Delete(k)
			return
		}
	}
}

// sendResult is the result of one try of a cancel.
type sendResult int

const (
	// failed means that no valid response arrived.
	failed sendResult = iota
	// known and unknown mean that the engine had the request or did not.
	known
	unknown
	// superseded means that the request has a newer owner, which is now
	// responsible for the cancel.
	superseded
)

// isFinal reports whether a result confirms the cancel. answered means that the
// engine responded to an earlier try. If the call itself was not answered, the
// cancel may have overtaken it, so that one "unknown" proves nothing.
func isFinal(c core.Cancel, result sendResult, answered bool) bool {
	switch result {
	case superseded:
		return true
	case known:
		return c.Answered
	case unknown:
		return c.Answered || answered
	}
	return false
}

// send sends a cancel once.
func (q *Queue) send(ctx context.Context, c core.Cancel) sendResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	held, err := q.Engines.Cancel(ctx, c.Upstream, c.ID, c.Attempt)
	switch {
	case codes.Has(err, codes.Superseded):
		return superseded
	case err != nil:
		return failed
	case held:
		return known
	}
	return unknown
}

// remove removes a confirmed cancel, unless a higher attempt was merged into it
// in the meantime. It reports whether the cancel was removed.
func (q *Queue) remove(k key, p *pendingCancel) bool {
	removed := false
	q.pending.Update(k, func(current *pendingCancel, ok bool) (*pendingCancel, bool) {
		removed = !ok || current == p
		return current, !removed
	})
	return removed
}

// unpublished reports whether the upstream of a cancel is no longer published.
func (q *Queue) unpublished(k key) bool {
	return q.Upstreams != nil && !q.Upstreams.Published(k.upstream)
}

// Pending returns the number of unconfirmed cancels and the age of the oldest.
func (q *Queue) Pending() (n int, oldest clock.Millis) {
	now := q.Clock.Now()
	q.pending.Each(func(_ key, p *pendingCancel) bool {
		n++
		oldest = max(oldest, now-p.since)
		return true
	})
	return n, oldest
}

// Wait waits until all cancels have ended or ctx ends, and then returns its
// error.
func (q *Queue) Wait(ctx context.Context) error {
	for {
		q.mu.Lock()
		idle := q.idle
		n := q.count
		q.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close drops all unconfirmed cancels and waits for their goroutines to end.
// After that, Add does nothing.
func (q *Queue) Close() {
	q.mu.Lock()
	q.closed = true
	if q.cancel != nil {
		q.cancel()
	}
	q.mu.Unlock()
	q.running.Wait()
}
