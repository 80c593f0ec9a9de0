package relay

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
)

// watchdog cancels a resumable stream that is idle for too long, so that it can
// continue at another engine.
type watchdog struct {
	clock clock.Clock
	start clock.Millis
	// cancel ends the context of the stream.
	cancel context.CancelCauseFunc
	// disarm stops the running timer. It returns false if the timer has fired.
	disarm func() bool
	// idleLimit is the idle timeout after the first data has arrived.
	idleLimit clock.Millis
}

// Timeouts after which a resumable stream continues at another engine.
const (
	// The first event may take this multiple of its predicted time, but at least
	// minFirstEventTimeout.
	firstEventFactor                  = 4
	minFirstEventTimeout clock.Millis = 800
	// maxEventPause is the longest pause between two parts of the stream.
	maxEventPause clock.Millis = 1000
)

// startWatchdog returns a context for one stream, and its watchdog. The context is
// cancelled with the cause errUpstreamIdle when a resumable stream is idle for too
// long. A stream that can't continue elsewhere is not watched.
func (a *attempt) startWatchdog(ctx context.Context) (context.Context, *watchdog) {
	x := a.exchange
	w := &watchdog{clock: x.relay.Clock, start: x.relay.Clock.Now(), idleLimit: maxEventPause}
	ctx, w.cancel = context.WithCancelCause(ctx)
	if x.opaque.Route.Resumable && x.possibleRuns < x.opaque.Route.Profile.Retries {
		w.arm(max(a.choice.FirstToken*firstEventFactor, minFirstEventTimeout))
	}
	return ctx, w
}

// arm starts the timer.
func (w *watchdog) arm(d clock.Millis) {
	w.disarm = w.clock.AfterFunc(d, func() { w.cancel(errUpstreamIdle) })
}

// reset restarts the timer when data has arrived. It does nothing once the timer
// has fired.
func (w *watchdog) reset() {
	if w.disarm != nil && w.disarm() {
		w.arm(w.idleLimit)
	}
}

// stop ends the timer and the context.
func (w *watchdog) stop() {
	if w.disarm != nil {
		w.disarm()
	}
	w.cancel(nil)
}
