package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/drain"
	"lacewinghook.example/lacewinghook/member"
	"lacewinghook.example/lacewinghook/shard"
)

// standing is this entry's own state with its turn.
type standing struct {
	State core.State
	Turn  int64
}

// announce works out this entry's state and, if it changed, tells the others.
func (e *Entry) announce() {
	state := core.Live
	drains := e.drains.State()
	if e.leaving.Load() || drains.Has(drain.Instance, e.Settings.Instance) ||
		drains.Has(drain.Centre, e.Settings.Centre) {
		state = core.Leaving
	}
	for {
		old := e.self.Load()
		if old != nil && old.State == state {
			return
		}
		next := &standing{State: state, Turn: time.Now().UnixMilli()}
		if old != nil {
			next.Turn = max(next.Turn, old.Turn+1)
		}
		if e.self.CompareAndSwap(old, next) {
			e.updates.Send()
			return
		}
	}
}

// readList reads the platform's list again and again, the less often the
// longer it is.
func (e *Entry) readList(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := e.store.Listing(ctx)
		switch {
		case err == nil:
			e.members.ApplyList(l)
			e.listed.Do(e.updates.Send)
		case ctx.Err() == nil:
			e.Log.Warn("entry: the instance list can't be read", zap.Error(err))
		}
		_ = e.Clock.Sleep(ctx, e.members.Intervals().List)
	}
}

// beatGap is the least time between two rounds of heartbeats.
const beatGap = 50 * clock.Millis(1)

// sendBeats beats the partners at the pace of the set, and at once when there
// is a change.
func (e *Entry) sendBeats(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	var busy shard.Map[string, bool]
	for ctx.Err() == nil {
		e.round(ctx, &wait, &busy)
		e.pause(ctx)
	}
}

// round starts a beat to each partner that has none under way, and doesn't
// wait: a partner that is slow must not keep a change from the others.
func (e *Entry) round(ctx context.Context, wait *sync.WaitGroup, busy *shard.Map[string, bool]) {
	var answers sync.WaitGroup
	partners := e.partners()
	for _, p := range partners {
		if _, already := busy.Get(p.Peer); already {
			continue
		}
		busy.Set(p.Peer, true)
		answers.Add(1)
		wait.Go(func() {
			defer answers.Done()
			defer busy.Delete(p.Peer)
			_, _ = e.beatOne(ctx, p)
		})
	}
	if len(partners) == 0 {
		return
	}
	wait.Go(func() {
		answers.Wait()
		e.met.Do(func() { close(e.metAll) })
	})
}

// partners are those of the table or, while no list could be read, the
// addresses of the settings.
func (e *Entry) partners() []core.Instance {
	all := e.members.Partners()
	if len(all) > 0 {
		return all
	}
	for _, addr := range e.Settings.Seeds {
		all = append(all, core.Instance{Peer: addr})
	}
	return all
}

func (e *Entry) pause(ctx context.Context) {
	_ = e.Clock.Sleep(ctx, beatGap)
	e.updates.Wait(ctx, e.Clock, e.members.Intervals().Heartbeat-beatGap)
}

// beatOne beats one entry and takes its answer over.
func (e *Entry) beatOne(ctx context.Context, p core.Instance) (member.Heartbeat, error) {
	asked := e.Clock.Now()
	answer, err := e.peers.Beat(ctx, p.Peer, e.beat())
	if err != nil {
		if ctx.Err() == nil {
			e.members.RecordFailure(p.Name, asked)
		}
		return answer, err
	}
	e.members.HandleAnswer(answer, asked)
	e.take(answer)
	if answer.Version <= e.book.Version() {
		e.members.Document.Confirm(asked)
	}
	if answer.Drains <= e.drains.Version() {
		e.members.Drains.Confirm(asked)
	}
	return answer, nil
}

// take passes on what a beat says of documents, drains and crashes.
func (e *Entry) take(b member.Heartbeat) {
	e.follower.ReportVersion(b.Version, b.Instance.Peer)
	e.drains.Newer(b.Drains, b.Instance.Peer)
	e.suspects.Merge(b.Marks)
}

// beat is what this entry tells of itself.
func (e *Entry) beat() member.Heartbeat {
	self := e.members.Self
	b := member.Heartbeat{
		Boot: e.owner.Boot, Version: e.book.Version(), Drains: e.drains.Version(),
		Load: e.flights.Len(), StateChanges: e.members.StateChanges(),
		Marks: e.suspects.Unsaved(),
	}
	if s := e.self.Load(); s != nil {
		self.State, b.StateTime = s.State, s.Turn
	}
	b.Instance = self
	return b
}

// Beat implements [wire.Handler].
func (e *Entry) Beat(_ context.Context, b member.Heartbeat) (member.Heartbeat, error) {
	e.members.HandleHeartbeat(b)
	e.take(b)
	return e.beat(), nil
}
