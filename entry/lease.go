package entry

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/lease"
)

// orderEngines carries out the published desired states where this entry
// holds the lease. An entry that is leaving gives its leases up.
func (e *Entry) orderEngines(ctx context.Context) {
	if e.leaving.Load() {
		e.keeper.Release(ctx)
		return
	}
	if v := e.book.View(); v != nil {
		e.keeper.Round(ctx, v.Doc)
	}
}

func (e *Entry) prepareKeeper() {
	e.keeper.Table = &e.store
	e.keeper.Engines = &e.engines
	e.keeper.Clock = e.Clock
	e.keeper.Meter = &e.meter
	e.keeper.Log = e.Log
	e.keeper.Owner = e.owner
	e.keeper.Centre = e.Settings.Centre
}

// orderEvery is how often the leases are tended.
const orderEvery clock.Millis = lease.RoundEvery
