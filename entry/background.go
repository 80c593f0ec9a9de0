package entry

import (
	"context"

	"golang.org/x/sync/errgroup"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/sweep"
)

// background starts the periodic tasks, which run until ctx ends.
func (e *Entry) background(ctx context.Context, g *errgroup.Group) {
	for _, run := range []func(context.Context){
		e.updater.Run, e.drains.Run, e.pollInstances, e.sendHeartbeats, e.reportReader.Run, e.runLeases,
	} {
		g.Go(func() error {
			run(ctx)
			return nil
		})
	}
	e.runEvery(ctx, g, orderSweepInterval, e.sweepOrders)
	e.runEvery(ctx, g, desiredStateInterval, e.applyDesiredStates)
	e.syncQuarantine(ctx, g)
	e.runEvery(ctx, g, sweep.Interval, e.sweeper.Sweep)
}

// runEvery runs f at once and then every d until ctx ends.
func (e *Entry) runEvery(ctx context.Context, g *errgroup.Group, d clock.Millis, f func(context.Context)) {
	g.Go(func() error {
		f(ctx)
		e.Clock.Every(ctx, d, f)
		return nil
	})
}
