package edge

import (
	"context"
	"math/rand/v2"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/taint"
	"lacewinghook.example/lacewinghook/wire"
)

// suspects is a [taint.Table] whose contents the entries exchange in heartbeats.
type suspects struct {
	taint.Table
	spread taint.Spread
	edge   *Edge
}

// init connects the table with the entry. parts is the table of parts of prompts, for that
// of whole requests.
func (s *suspects) init(e *Edge, parts *taint.Table, store taint.Store) {
	s.edge = e
	s.spread = taint.Spread{Table: &s.Table, Trigger: e.gossip.Trigger, Clock: e.Clock}
	s.Self, s.Whole, s.Parts, s.Store, s.Fresh = e.Settings.Instance, parts != nil, parts, store, e.Settings.Fleet.Fresh
	s.Clock, s.Meter, s.Log, s.OnChange = e.Clock, &e.meter, e.Log, s.spread.Announce
}

// check returns an error with the code if a request with the given parts is rejected. One
// that has parts on trial is sent only with a permit; permitted is set once it has one.
func (s *suspects) check(ctx context.Context, id string, parts []uint64, code codes.Code, permitted *bool) error {
	if part, left, ok := s.Quarantined(parts); ok {
		return codes.New(code, "request %s: %s is quarantined", id, taint.FormatPart(part)).WithRetryAfter(left)
	}
	if *permitted {
		return nil
	}
	tried := s.OnTrial(parts)
	if len(tried) == 0 {
		return nil
	}
	p := s.requestPermit(ctx, tried)
	s.Log.Info("edge: request with a suspect on trial", zap.String("request", id), zap.String("part", taint.FormatPart(tried[0])),
		zap.Int("parts", len(tried)), zap.Bool("permitted", p.Granted), zap.Int64("wait", int64(p.Wait)))
	if !p.Granted {
		return codes.New(code, "request %s: another one with %s is on trial", id, taint.FormatPart(tried[0])).WithRetryAfter(p.Wait + rand.N(trialJitter))
	}
	s.Merge(p.Known)
	*permitted = true
	return nil
}

const (
	// trialJitter bounds the random time after which callers that were rejected together
	// return, beyond the time that they have to wait.
	trialJitter = 1 * clock.Second
	// ownerWait is the time after which to ask again if the owner of the trials is
	// unreachable.
	ownerWait = 1 * clock.Second
	// silentOwnerTime is how long an owner that did not answer is passed over: one that has
	// ended may be listed for a minute.
	silentOwnerTime = 10 * clock.Second
	// trialsKey is what the owner of the trials owns.
	trialsKey = "trials"
)

// requestPermit asks the owner of the trials for a permit, until ctx ends.
func (s *suspects) requestPermit(ctx context.Context, parts []uint64) taint.Permit {
	e := s.edge
	owner := e.trialOwner()
	if owner.Name == e.Settings.Instance {
		return s.Permit(parts)
	}
	p, err := e.peers.Trial(ctx, owner.Peer, wire.TrialRequest{Whole: s.Whole, Parts: parts})
	if err != nil && ctx.Err() != nil {
		// The request has ended, which says nothing about the owner.
		return taint.Permit{Wait: ownerWait}
	}
	if err != nil {
		s.Log.Warn("edge: the owner of the trials did not answer", zap.String("owner", owner.Name), zap.Error(err))
		e.trialFinder.PassOver(owner.Name, s.Clock.Now(), silentOwnerTime)
		return taint.Permit{Wait: ownerWait}
	}
	return p
}

// trialOwner returns the entry that permits trials: the same at all entries with the same
// list of entries. While lists differ there may be two.
func (e *Edge) trialOwner() core.Instance {
	entries := e.owners()
	if len(entries) == 0 {
		entries = []core.Instance{e.self()}
		for _, p := range e.gossip.Live() {
			entries = append(entries, p.Heartbeat.Instance)
		}
	}
	return e.trialOwnerOf(entries)
}

// trialOwnerOf returns the one of the entries that owns the trials, or this entry if all of
// them are passed over.
func (e *Edge) trialOwnerOf(entries []core.Instance) core.Instance {
	if owner, ok := e.trialFinder.Owner(trialsKey, entries, e.Clock.Now()); ok {
		return owner
	}
	return e.self()
}

// permitTrial implements [wire.MethodTrial].
func (e *Edge) permitTrial(req wire.TrialRequest) taint.Permit {
	if req.Whole {
		return e.requests.Permit(req.Parts)
	}
	return e.tainted.Permit(req.Parts)
}
