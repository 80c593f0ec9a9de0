package entry

import (
	"context"

	"golang.org/x/sync/errgroup"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// reportEvery is how often an entry reads the engines' reports.
const reportEvery = 250 * clock.Millis(1)

// background starts the work that goes on beside the requests.
func (e *Entry) background(ctx context.Context, g *errgroup.Group) {
	for _, run := range []func(context.Context){
		e.follower.Run, e.drains.Run, e.readList, e.sendBeats,
	} {
		g.Go(func() error {
			run(ctx)
			return nil
		})
	}
	e.every(ctx, g, reportEvery, e.readReports)
	e.every(ctx, g, sweepEvery, e.sweepOrders)
	e.every(ctx, g, orderEvery, e.orderEngines)
}

func (e *Entry) every(ctx context.Context, g *errgroup.Group, d clock.Millis, f func(context.Context)) {
	g.Go(func() error {
		f(ctx)
		e.Clock.Every(ctx, d, f)
		return nil
	})
}

func (e *Entry) readReports(ctx context.Context) {
	for _, name := range e.pool.Names() {
		s, ok := e.pool.Get(name)
		if !ok || s.Upstream.Role == core.Service {
			continue
		}
		if r, err := e.engines.Load(ctx, s.Upstream); err == nil {
			e.pool.Report(r)
		}
	}
	e.places.Wake()
}
