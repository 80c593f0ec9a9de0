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
		e.keeper.Release(ctx)
		return
	}
	if v := e.document.View(); v != nil {
		e.keeper.Reconcile(ctx, v.Doc)
	}
}

// prepareKeeper sets up the keeper of the engine groups' leases.
func (e *Entry) prepareKeeper() {
	e.keeper.Table = &e.store
	e.keeper.Engines = &e.engines
	e.keeper.Clock = e.Clock
	e.keeper.Meter = &e.meter
	e.keeper.Log = e.Log
	e.keeper.Owner = e.owner
	e.keeper.Centre = e.Settings.Centre
}

// desiredStateInterval is the time between two calls of applyDesiredStates.
const desiredStateInterval clock.Millis = lease.ReconcileInterval
