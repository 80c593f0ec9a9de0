package relay

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
)

// watchdog ends a stream that gives no sign for too long, where another
// engine can go on with it.
type watchdog struct {
	clock  clock.Clock
	began  clock.Millis
	cancel context.CancelCauseFunc
	disarm func() bool
	limit  clock.Millis
}

// Bounds of the silence after which a resumable stream goes on elsewhere.
const (
	// silentFactor is by how much the predicted first event may be exceeded.
	silentFactor              = 4
	silentLeast  clock.Millis = 800
	// silentPause is the longest pause between events.
	silentPause clock.Millis = 1000
)

// watch returns a context for one stream. It ends with the cause errSilent
// when a resumable stream is silent for too long.
func (a *attempt) watch(ctx context.Context) (context.Context, *watchdog) {
	l := a.life
	w := &watchdog{clock: l.relay.Clock, began: l.relay.Clock.Now(), limit: silentPause}
	ctx, w.cancel = context.WithCancelCause(ctx)
	if l.opaque.Route.Resumable && l.runs < l.opaque.Route.Profile.Retries {
		w.arm(max(a.choice.Wait*silentFactor, silentLeast))
	}
	return ctx, w
}

func (w *watchdog) arm(d clock.Millis) {
	w.disarm = w.clock.AfterFunc(d, func() { w.cancel(errSilent) })
}

// sign notes that something has arrived.
func (w *watchdog) sign() {
	if w.disarm != nil && w.disarm() {
		w.arm(w.limit)
	}
}

// stop ends the watch and the context.
func (w *watchdog) stop() {
	if w.disarm != nil {
		w.disarm()
	}
	w.cancel(nil)
}
