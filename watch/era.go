package watch

import (
	"context"
	"math/rand/v2"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// eras is what a [Watcher] knows of the eras of the store. It is guarded by the mutex of
// the Watcher.
type eras struct {
	// known is set once current is the era of an answer or of a peer.
	known   bool
	current int64
	// rises counts how often the era has risen since this process began.
	rises int
	// end is closed when the era rises.
	end chan struct{}
	// restoredUntil is the end of the time after a rise in which the rows of the replicas
	// may be older than what is known of them.
	restoredUntil clock.Millis
}

// endOfEra returns the channel that is closed when the era rises. The caller holds w.mu.
func (w *Watcher) endOfEra() chan struct{} {
	if w.eras.end == nil {
		w.eras.end = make(chan struct{})
	}
	return w.eras.end
}

// enterEra records the era of an answer of the store or of a peer, and reports whether it
// is the current one. After a rise all tables are read again, and replicas are kept as they
// were for keepMissingFor.
func (w *Watcher) enterEra(era int64, from string) (current bool) {
	w.mu.Lock()
	before := w.eras.current
	if era <= before {
		w.eras.known = true
		w.mu.Unlock()
		return era == before
	}
	rise := w.eras.known
	w.eras.known, w.eras.current = true, era
	if rise {
		w.eras.rises++
		close(w.endOfEra())
		w.eras.end = nil
		w.keepMissingUntil = w.Clock.Now() + keepMissingFor
		w.eras.restoredUntil = w.keepMissingUntil
	}
	w.mu.Unlock()
	if !rise {
		return true
	}
	w.Meter.Add("store_restores_total", 1)
	w.log().Warn("watch: the store was restored from an older copy, reading all of it again",
		zap.Int64("era", era), zap.Int64("before", before), zap.String("from", from))
	if !w.relayed() || w.turn().reader() {
		w.readNow.Store(true)
		w.fleetDue.Send()
	}
	w.tableDue.Send()
	if w.OnRestore != nil {
		w.OnRestore()
	}
	return true
}

// rises returns how often the era has risen.
func (w *Watcher) rises() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.eras.rises
}

// follow calls f, which waits for a change after the version, with a context that ends with
// the era of the version. The error is [codes.HistoryLost] if the era has ended; ended is
// set then.
func (w *Watcher) follow(ctx context.Context, after core.StoreVersion, f func(context.Context) error) (ended bool, err error) {
	w.mu.Lock()
	end, over := w.endOfEra(), after.Era < w.eras.current
	w.mu.Unlock()
	if !over {
		call, cancel := endWith(ctx, end)
		defer cancel()
		err = f(call)
		w.mu.Lock()
		over = err != nil && after.Era < w.eras.current
		w.mu.Unlock()
	}
	if over {
		return true, codes.New(codes.HistoryLost, "the era %d of the store has ended", after.Era)
	}
	return false, err
}

// pauseInEra sleeps for d, until ctx ends, or until the era has risen more often than rises.
func (w *Watcher) pauseInEra(ctx context.Context, rises int, d clock.Millis) {
	w.mu.Lock()
	end, over := w.endOfEra(), w.eras.rises != rises
	w.mu.Unlock()
	if over {
		return
	}
	pause, cancel := endWith(ctx, end)
	defer cancel()
	// The caller's loop checks ctx.
	_ = w.Clock.Sleep(pause, d)
}

// endWith returns a copy of ctx that also ends when end is closed.
func endWith(ctx context.Context, end <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-end:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// spread sleeps for a random time up to maxBackoff, since all entries call the store again
// after a rise of the era.
func (w *Watcher) spread(ctx context.Context) {
	// The caller's loop checks ctx.
	_ = w.Clock.Sleep(ctx, clock.Millis(rand.Int64N(int64(maxBackoff))))
}

// InEraOf returns s with the era that a peer of an older build, which reports none, counts
// as being in: that of have, unless have has seen the store being restored.
func (s PeerState) InEraOf(have PeerState) PeerState {
	if s.Era == 0 && !have.Restored {
		s.Era = have.Era
	}
	return s
}

// inOwnEra is like [PeerState.InEraOf] for the version of a copy that a peer has sent. The
// caller holds w.mu.
func (w *Watcher) inOwnEra(era int64) int64 {
	have := PeerState{Era: w.eras.current, Restored: w.eras.rises > 0}
	return PeerState{Era: era}.InEraOf(have).Era
}

// asBefore returns the replicas of list that were known earlier. A row of the copy from which
// the store was restored may be older than what is known: one of an earlier run of its replica
// is replaced, a replica that leaves goes on to do so, and one that was removed doesn't return.
func asBefore(list, earlier []core.Replica) []core.Replica {
	known := make(map[string]*core.Replica, len(earlier))
	for i := range earlier {
		known[earlier[i].Name] = &earlier[i]
	}
	var kept []core.Replica
	for _, r := range list {
		old := known[r.Name]
		switch {
		case old == nil:
			continue
		case r.Incarnation < old.Incarnation:
			r = *old
		case r.Incarnation == old.Incarnation:
			r.Leaving = r.Leaving || old.Leaving
		}
		kept = append(kept, r)
	}
	return kept
}
