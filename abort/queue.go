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

// Engines is the call of model engines that cancelling needs.
type Engines interface {
	// Cancel frees what the engine holds for the request up to the attempt,
	// and reports whether it knew of it. [codes.Superseded] says that a newer
	// attempt holds the request.
	Cancel(ctx context.Context, up core.Upstream, id core.ID, attempt core.Attempt) (known bool, err error)
}

// Upstreams tells which upstreams are published.
type Upstreams interface {
	Published(name string) bool
}

// Book holds the unconfirmed cancels. Engines is needed; the zero value of
// all else works.
type Book struct {
	Engines Engines
	// Upstreams, if not nil, ends the cancels of an upstream that is no
	// longer published.
	Upstreams Upstreams
	Clock     clock.Clock
	Meter     *meter.Set

	open shard.Map[key, *order]

	mu    sync.Mutex
	count int
	// idle is closed when the count falls to zero.
	idle   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	closed bool
	wait   sync.WaitGroup
}

// key is what a cancel is for: it reaches all attempts up to the order's.
type key struct {
	upstream string
	id       core.ID
}

// order is one unconfirmed cancel.
type order struct {
	cancel core.Cancel
	since  clock.Millis
}

// pauses are those between the tries of one cancel.
var pauses = limit.Backoff{Base: 20, Max: 2 * clock.Second}

// The times of one cancel.
const (
	callTimeout = 2 * clock.Second
	firstPause  = 20 * clock.Millis(1)
	lastPause   = 2 * clock.Second
	// settleTime is the time within which an engine that answers has taken
	// up a call that was sent before.
	settleTime = 500 * clock.Millis(1)
)

// Add takes charge of a cancel and returns at once. A second cancel of the
// same request at the same upstream joins the first, with the higher attempt.
func (b *Book) Add(c core.Cancel) {
	k := key{c.Upstream.Name, c.ID}
	fresh := &order{cancel: c, since: b.Clock.Now()}
	joined := false
	b.open.Update(k, func(o *order, ok bool) (*order, bool) {
		joined = ok
		if !ok {
			return fresh, true
		}
		merged := *o
		merged.cancel.Attempt = max(o.cancel.Attempt, c.Attempt)
		merged.cancel.Answered = o.cancel.Answered && c.Answered
		return &merged, true
	})
	if !joined {
		b.start(k)
	}
}

func (b *Book) start(k key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		b.open.Delete(k)
		return
	}
	if b.ctx == nil {
		b.ctx, b.cancel = context.WithCancel(context.Background())
	}
	if b.count == 0 {
		b.idle = make(chan struct{})
	}
	b.count++
	b.wait.Go(func() {
		b.pursue(b.ctx, k)
		b.ended()
	})
}

func (b *Book) ended() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count--
	if b.count == 0 {
		close(b.idle)
	}
}

// pursue sends a cancel until it is confirmed or the book is closed.
func (b *Book) pursue(ctx context.Context, k key) {
	heard := false
	for n := 1; ; n++ {
		o, ok := b.open.Get(k)
		if !ok {
			return
		}
		v := b.send(ctx, o.cancel)
		if final(o.cancel, v, heard) && b.close(k, o) {
			return
		}
		pause := pauses.Delay(n, rand.Uint64())
		if v == failed {
			b.Meter.Add("cancel_retries_total", 1)
		} else {
			heard, pause = true, settleTime
		}
		if b.gone(k) || b.Clock.Sleep(ctx, pause) != nil {
			b.open.Delete(k)
			return
		}
	}
}

// verdict is what one try of a cancel has shown.
type verdict int

const (
	failed verdict = iota
	// known and unknown say whether the engine knew of the request.
	known
	unknown
	// superseded says that the request has another owner, whose duty the
	// cancel is now.
	superseded
)

// final reports whether a verdict ends a cancel; heard says that the engine
// answered an earlier try.
func final(c core.Cancel, v verdict, heard bool) bool {
	switch v {
	case superseded:
		return true
	case known:
		return c.Answered
	case unknown:
		return c.Answered || heard
	}
	return false
}

func (b *Book) send(ctx context.Context, c core.Cancel) verdict {
	ctx, done := context.WithTimeout(ctx, callTimeout.Std())
	defer done()
	held, err := b.Engines.Cancel(ctx, c.Upstream, c.ID, c.Attempt)
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

// close ends an order unless a higher attempt joined it meanwhile.
func (b *Book) close(k key, o *order) bool {
	closed := false
	b.open.Update(k, func(now *order, ok bool) (*order, bool) {
		closed = !ok || now == o
		return now, !closed
	})
	return closed
}

func (b *Book) gone(k key) bool {
	return b.Upstreams != nil && !b.Upstreams.Published(k.upstream)
}

// Open returns the count of unconfirmed cancels and the age of the oldest.
func (b *Book) Open() (n int, oldest clock.Millis) {
	now := b.Clock.Now()
	b.open.Each(func(_ key, o *order) bool {
		n++
		oldest = max(oldest, now-o.since)
		return true
	})
	return n, oldest
}

// Wait returns nil once nothing is unconfirmed, or the context's error.
func (b *Book) Wait(ctx context.Context) error {
	for {
		b.mu.Lock()
		idle := b.idle
		n := b.count
		b.mu.Unlock()
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

// Close gives up what is unconfirmed and waits for its threads to end. A later
// Add does nothing.
func (b *Book) Close() {
	b.mu.Lock()
	b.closed = true
	if b.cancel != nil {
		b.cancel()
	}
	b.mu.Unlock()
	b.wait.Wait()
}
