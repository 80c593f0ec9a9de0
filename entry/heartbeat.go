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

// ownState is this entry's state and the time of its last change, in
// milliseconds since the Unix epoch. ChangedAt increases with every change.
type ownState struct {
	State     core.InstanceState
	ChangedAt int64
}

// updateState recomputes this entry's state. If it changed, the next round of
// heartbeats starts at once.
func (e *Entry) updateState() {
	state := core.Live
	drains := e.drains.Snapshot()
	if e.leaving.Load() || drains.Has(drain.Instance, e.Settings.Instance) ||
		drains.Has(drain.Centre, e.Settings.Centre) {
		state = core.Leaving
	}
	for {
		old := e.currentState.Load()
		if old != nil && old.State == state {
			return
		}
		next := &ownState{State: state, ChangedAt: time.Now().UnixMilli()}
		if old != nil {
			next.ChangedAt = max(next.ChangedAt, old.ChangedAt+1)
		}
		if e.currentState.CompareAndSwap(old, next) {
			e.heartbeatNow.Send()
			return
		}
	}
}

// pollInstances reads the platform's instance list periodically until ctx
// ends. The interval grows with the length of the list.
func (e *Entry) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := e.store.Listing(ctx)
		switch {
		case err == nil:
			e.members.ApplyList(l)
			e.firstListOnce.Do(e.heartbeatNow.Send)
		case ctx.Err() == nil:
			e.Log.Warn("entry: reading the instance list failed", zap.Error(err))
		}
		_ = e.Clock.Sleep(ctx, e.members.Intervals().List)
	}
}

// minHeartbeatGap is the minimum time between two rounds of heartbeats.
const minHeartbeatGap = 50 * clock.Millis(1)

// sendHeartbeats sends heartbeats to the partners until ctx ends: periodically,
// and at once when the state, the document or the drains change.
func (e *Entry) sendHeartbeats(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	var inFlight shard.Map[string, bool]
	for ctx.Err() == nil {
		e.sendRound(ctx, &wait, &inFlight)
		e.waitForRound(ctx)
	}
}

// sendRound starts a heartbeat to each partner that has none in flight. It
// doesn't wait for answers, so that a slow partner can't delay a change to the
// others. It closes peersAsked once every heartbeat of one round has been
// answered or has failed.
func (e *Entry) sendRound(ctx context.Context, wait *sync.WaitGroup, inFlight *shard.Map[string, bool]) {
	var answers sync.WaitGroup
	partners := e.partners()
	for _, p := range partners {
		if _, already := inFlight.Get(p.Peer); already {
			continue
		}
		inFlight.Set(p.Peer, true)
		answers.Add(1)
		wait.Go(func() {
			defer answers.Done()
			defer inFlight.Delete(p.Peer)
			_, _ = e.exchangeHeartbeat(ctx, p)
		})
	}
	if len(partners) == 0 {
		return
	}
	wait.Go(func() {
		answers.Wait()
		e.peersAskedOnce.Do(func() { close(e.peersAsked) })
	})
}

// partners returns the partners from the membership table. While the table is
// empty, since no list could be read, it returns the addresses of the settings.
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

// waitForRound waits for the heartbeat interval or until heartbeatNow is sent,
// but at least minHeartbeatGap.
func (e *Entry) waitForRound(ctx context.Context) {
	_ = e.Clock.Sleep(ctx, minHeartbeatGap)
	e.heartbeatNow.Wait(ctx, e.Clock, e.members.Intervals().Heartbeat-minHeartbeatGap)
}

// exchangeHeartbeat sends a heartbeat to one entry and applies its answer. If
// the peer has no newer document or drains, this confirms that the own ones
// were up to date when the heartbeat was sent.
func (e *Entry) exchangeHeartbeat(ctx context.Context, p core.Instance) (member.Heartbeat, error) {
	sentAt := e.Clock.Now()
	answer, err := e.peers.Heartbeat(ctx, p.Peer, e.ownHeartbeat())
	if err != nil {
		if ctx.Err() == nil {
			e.members.RecordFailure(p.Name, sentAt)
		}
		return answer, err
	}
	e.members.HandleAnswer(answer, sentAt)
	e.applyHeartbeat(answer)
	if answer.Version <= e.document.Version() {
		e.members.Document.Confirm(sentAt)
	}
	if answer.Drains <= e.drains.Version() {
		e.members.Drains.Confirm(sentAt)
	}
	return answer, nil
}

// applyHeartbeat passes the versions of document and drains and the suspect
// digests of a peer's heartbeat to the components that use them.
func (e *Entry) applyHeartbeat(h member.Heartbeat) {
	e.updater.ReportVersion(h.Version, h.Instance.Peer)
	e.drains.ReportVersion(h.Drains, h.Instance.Peer)
	e.quarantine.Merge(h.Suspects)
}

// ownHeartbeat returns the heartbeat that this entry sends.
func (e *Entry) ownHeartbeat() member.Heartbeat {
	self := e.members.Self
	h := member.Heartbeat{
		Boot: e.owner.Boot, Version: e.document.Version(), Drains: e.drains.Version(),
		Load: e.inFlight.Len(), StateChanges: e.members.StateChanges(),
		Suspects: e.quarantine.Unsaved(),
	}
	if s := e.currentState.Load(); s != nil {
		self.State, h.StateTime = s.State, s.ChangedAt
	}
	h.Instance = self
	return h
}

// Heartbeat implements [wire.Handler].
func (e *Entry) Heartbeat(_ context.Context, h member.Heartbeat) (member.Heartbeat, error) {
	e.members.HandleHeartbeat(h)
	e.applyHeartbeat(h)
	return e.ownHeartbeat(), nil
}
