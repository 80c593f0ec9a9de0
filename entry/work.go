package entry

import (
	"context"

	"golang.org/x/sync/errgroup"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/sweep"
)

// background starts the work that goes on beside the requests.
func (e *Entry) background(ctx context.Context, g *errgroup.Group) {
	for _, run := range []func(context.Context){
		e.follower.Run, e.drains.Run, e.readList, e.sendBeats, e.reports.Run, e.runGrant,
	} {
		g.Go(func() error {
			run(ctx)
			return nil
		})
	}
	e.every(ctx, g, sweepEvery, e.sweepOrders)
	e.every(ctx, g, orderEvery, e.orderEngines)
	e.followPoison(ctx, g)
	e.every(ctx, g, sweep.Interval, e.sweeper.Sweep)
}

func (e *Entry) every(ctx context.Context, g *errgroup.Group, d clock.Millis, f func(context.Context)) {
	g.Go(func() error {
		f(ctx)
		e.Clock.Every(ctx, d, f)
		return nil
	})
}
