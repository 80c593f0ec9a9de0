package relay

import (
	"context"
	"runtime/debug"
	"sync"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
)

// DefaultMaxSilence is how long a sound upstream may be silent. Callers abandon a
// stream after 2 s or more without an event.
const DefaultMaxSilence = 2 * clock.Second

// maxSilence returns MaxSilence, or its default.
func (r *Relay) maxSilence() clock.Millis {
	if r.MaxSilence > 0 {
		return r.MaxSilence
	}
	return DefaultMaxSilence
}

// searchInterval is the pause after a search for another upstream that found none.
const searchInterval clock.Millis = 200

// watchdog abandons a call to an upstream that is silent, but only once the request can
// go on elsewhere: until then the upstream may still answer. All fields but mu and those
// below it are set before start.
type watchdog struct {
	clock clock.Clock
	// limit is the silence after which secure is called.
	limit clock.Millis
	// secure reserves what the request needs to go on elsewhere. It returns false if
	// that isn't available, and when ctx ends, which it does if the upstream sends
	// data meanwhile.
	secure func(ctx context.Context) bool
	// unsecure undoes secure, if the upstream has sent data in the meantime.
	unsecure func()
	// cancel ends the call.
	cancel context.CancelCauseFunc
	log    *zap.Logger

	mu sync.Mutex
	// ctx bounds the searches.
	ctx context.Context
	// last is the instant of the last data, or of the start.
	last clock.Millis
	// disarm stops the running timer, and abandon the running search.
	disarm  func() bool
	abandon context.CancelFunc
	stopped bool
	// searches counts the running search.
	searches sync.WaitGroup
}

// unwatched returns a watchdog that never abandons the call.
func unwatched(cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{cancel: cancel, disarm: func() bool { return true }, stopped: true}
}

// start starts the timer. The context bounds the searches for another upstream.
func (w *watchdog) start(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ctx, w.last = ctx, w.clock.Now()
	w.arm(w.limit)
}

// arm starts a timer. w.mu is held.
func (w *watchdog) arm(d clock.Millis) { w.disarm = w.clock.AfterFunc(d, w.check) }

// dataReceived ends the current silence, and sets the limit of the next one.
func (w *watchdog) dataReceived(limit clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = w.clock.Now()
	if w.abandon != nil {
		w.abandon()
	}
	if w.limit == limit || w.stopped {
		return
	}
	w.limit = limit
	// A timer that has fired calls check, which arms it again.
	if w.abandon == nil && w.disarm() {
		w.arm(limit)
	}
}

// check runs when the upstream may have been silent for limit. It looks for another
// upstream if so.
func (w *watchdog) check() {
	search, ok := w.beginSearch()
	if !ok {
		return
	}
	defer w.searches.Done()
	secured := w.trySecure(search)
	w.mu.Lock()
	defer w.mu.Unlock()
	obsolete := search.Err() != nil
	w.abandon()
	w.abandon = nil
	switch {
	case secured && !obsolete:
		w.cancel(errUpstreamIdle)
		return
	case secured:
		w.unsecure()
	}
	if !w.stopped && w.ctx.Err() == nil {
		w.arm(searchInterval)
	}
}

// trySecure calls secure. It logs a panic, which would end the process: this isn't the
// goroutine of the HTTP server.
func (w *watchdog) trySecure(ctx context.Context) (secured bool) {
	defer func() {
		if v := recover(); v != nil {
			w.log.Error("relay: panic in a search for another upstream", zap.Any("panic", v), zap.ByteString("stack", debug.Stack()))
		}
	}()
	return w.secure(ctx)
}

// beginSearch returns the context of a search, or false if the upstream has not been
// silent for limit.
func (w *watchdog) beginSearch() (context.Context, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil, false
	}
	if rest := w.last + w.limit - w.clock.Now(); rest > 0 {
		w.arm(rest)
		return nil, false
	}
	search, abandon := context.WithCancel(w.ctx)
	w.abandon = abandon
	w.searches.Add(1)
	return search, true
}

// stop ends the timer and waits for a running search. The search goes on to its end if
// the upstream has failed meanwhile, and is abandoned otherwise. Further calls do nothing.
func (w *watchdog) stop(failed bool) {
	w.mu.Lock()
	w.stopped = true
	w.disarm()
	if w.abandon != nil && !failed {
		w.abandon()
	}
	w.mu.Unlock()
	w.searches.Wait()
}
