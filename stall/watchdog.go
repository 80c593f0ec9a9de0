package stall

import (
	"context"
	"runtime/debug"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
)

// searchInterval is the pause after a search for another upstream that found none.
const searchInterval clock.Millis = 200

// minPause is how late a timer fires after a pause of the process, as when it was stopped or
// all cores were busy.
const minPause clock.Millis = 20

// ErrIdle is the cause with which a [Watchdog] ends a call.
var ErrIdle = errors.New("the upstream sent no data in time")

// Watchdog abandons a call to an upstream that is silent, but only once the request can
// go on elsewhere: until then the upstream may still answer. A Watchdog that isn't started
// never abandons the call; the zero value is one. The fields are set before Start.
type Watchdog struct {
	Clock clock.Clock
	// Limit is the silence after which Secure is called. DataReceived changes it.
	Limit clock.Millis
	// Secure reserves what the request needs to go on elsewhere. It returns false if
	// that isn't available, and when ctx ends, which it does if the upstream sends
	// data meanwhile.
	Secure func(ctx context.Context) bool
	// Unsecure undoes Secure, if the upstream has sent data in the meantime.
	Unsecure func()
	// Cancel ends the call.
	Cancel context.CancelCauseFunc
	// Log, if nil, discards all messages.
	Log *zap.Logger

	mu sync.Mutex
	// ctx bounds the searches.
	ctx context.Context
	// last is the instant of the last data, or of the start, and due that at which the
	// running timer fires. paused is set if the process was paused since last.
	last, due clock.Millis
	paused    bool
	// disarm stops the running timer, and abandon the running search. disarm is nil until
	// Start.
	disarm  func() bool
	abandon context.CancelFunc
	stopped bool
	// searches counts the running search.
	searches sync.WaitGroup
}

// Start starts the timer. The context bounds the searches for another upstream.
func (w *Watchdog) Start(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ctx, w.last = ctx, w.Clock.Now()
	w.arm(w.Limit)
}

// arm starts a timer. w.mu is held.
func (w *Watchdog) arm(d clock.Millis) {
	w.due = w.Clock.Now() + d
	w.disarm = w.Clock.AfterFunc(d, w.check)
}

// DataReceived ends the current silence, and sets the limit of the next one.
func (w *Watchdog) DataReceived(limit clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last, w.paused = w.Clock.Now(), false
	if w.abandon != nil {
		w.abandon()
	}
	if w.Limit == limit || w.stopped || w.disarm == nil {
		return
	}
	w.Limit = limit
	// A timer that has fired calls check, which arms it again.
	if w.abandon == nil && w.disarm() {
		w.arm(limit)
	}
}

// check runs when the upstream may have been silent for Limit. It looks for another
// upstream if so.
func (w *Watchdog) check() {
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
		w.Cancel(ErrIdle)
		return
	case secured:
		w.Unsecure()
	}
	if !w.stopped && w.ctx.Err() == nil {
		w.arm(searchInterval)
	}
}

// trySecure calls Secure. It logs a panic, which would end the process: this isn't the
// goroutine of the HTTP server.
func (w *Watchdog) trySecure(ctx context.Context) (secured bool) {
	defer func() {
		if v := recover(); v != nil && w.Log != nil {
			w.Log.Error("relay: panic in a search for another upstream", zap.Any("panic", v), zap.ByteString("stack", debug.Stack()))
		}
	}()
	return w.Secure(ctx)
}

// beginSearch returns the context of a search, or false if the upstream has not been
// silent for Limit.
func (w *Watchdog) beginSearch() (context.Context, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil, false
	}
	now := w.Clock.Now()
	if rest := w.last + w.Limit - now; rest > 0 {
		w.arm(rest)
		return nil, false
	}
	if late := now - w.due; late >= minPause && !w.paused {
		// What the upstream sent meanwhile may not have been read yet.
		w.paused = true
		w.arm(min(late, w.Limit))
		return nil, false
	}
	search, abandon := context.WithCancel(w.ctx)
	w.abandon = abandon
	w.searches.Add(1)
	return search, true
}

// Stop ends the timer and waits for a running search. The search goes on to its end if
// the upstream has failed meanwhile, and is abandoned otherwise. Further calls do nothing.
func (w *Watchdog) Stop(failed bool) {
	w.mu.Lock()
	w.stopped = true
	if w.disarm != nil {
		w.disarm()
	}
	if w.abandon != nil && !failed {
		w.abandon()
	}
	w.mu.Unlock()
	w.searches.Wait()
}
