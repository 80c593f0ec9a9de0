package entry

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/lease"
)

// applyDesiredStates applies the published desired states to the engine groups
// whose lease this entry holds. A leaving entry releases its leases.
func (e *Entry) applyDesiredStates(ctx context.Context) {
	if e.leaving.Load() {
		e.reconciler.Release(ctx)
		return
	}
	if v := e.document.View(); v != nil {
		e.reconciler.Reconcile(ctx, v.Doc)
	}
}

// prepareReconciler sets up the reconciler, which holds the leases of engine
// groups and applies their desired states.
func (e *Entry) prepareReconciler() {
	e.reconciler.Table = &e.store
	e.reconciler.Engines = &e.engines
	e.reconciler.Clock = e.Clock
	e.reconciler.Meter = &e.meter
	e.reconciler.Log = e.Log
	e.reconciler.Owner = e.owner
	e.reconciler.Centre = e.Settings.Centre
}

// desiredStateInterval is the time between two calls of applyDesiredStates.
const desiredStateInterval clock.Millis = lease.ReconcileInterval
