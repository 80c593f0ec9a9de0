package entry

import (
	"context"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/member"
)

// How often an entry does its background work.
const (
	listEvery   = 1 * clock.Second
	beatEvery   = 1 * clock.Second
	reportEvery = 250 * clock.Millis(1)
)

// background starts the work that goes on beside the requests.
func (e *Entry) background(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error {
		e.book.Follow(ctx, e.Clock, &e.store, e.Log)
		return nil
	})
	e.every(ctx, g, listEvery, e.readList)
	e.every(ctx, g, beatEvery, e.sendBeats)
	e.every(ctx, g, reportEvery, e.readReports)
	e.every(ctx, g, sweepEvery, e.sweepOrders)
	e.followPoison(ctx, g)
}

func (e *Entry) every(ctx context.Context, g *errgroup.Group, d clock.Millis, f func(context.Context)) {
	g.Go(func() error {
		f(ctx)
		e.Clock.Every(ctx, d, f)
		return nil
	})
}

func (e *Entry) readList(ctx context.Context) {
	l, err := e.store.Listing(ctx)
	if err != nil {
		e.Log.Warn("entry: the instance list can't be read", zap.Error(err))
		return
	}
	e.members.List(l)
}

func (e *Entry) sendBeats(ctx context.Context) {
	for _, p := range e.members.Peers() {
		answer, err := e.peers.Beat(ctx, p.Instance.Peer, e.beat())
		if err == nil {
			e.members.Heard(answer)
		}
	}
}

func (e *Entry) beat() member.Beat {
	self := e.members.Self
	self.State = e.state()
	return member.Beat{
		Instance: self, Boot: e.owner.Boot,
		Version: e.book.Version(), Load: int(e.flights.Load()),
	}
}

// Beat implements [wire.Handler].
func (e *Entry) Beat(_ context.Context, b member.Beat) (member.Beat, error) {
	e.members.Heard(b)
	return e.beat(), nil
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
}
