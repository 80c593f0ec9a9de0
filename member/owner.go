package member

import (
	"slices"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Thresholds for declaring an entry or a run of it dead.
const (
	// DeadAfter is how long an entry's heartbeats must have failed before it
	// counts as dead. The platform's list must also have it as dead or lack
	// it.
	DeadAfter = 5 * clock.Second
	// minDeadFailures is the minimum number of failed heartbeats.
	minDeadFailures = 3
	// UnknownAfter is how long an instance must be missing from the list
	// before an owner on it counts as dead, if this entry has no record of the
	// instance.
	UnknownAfter = 30 * clock.Second
	// maxFormerRuns bounds the former runs recorded per instance.
	maxFormerRuns = 8
)

// recordRun records that the run boot answered a heartbeat sent at sentAt, and
// reports whether that is the present run. A different run replaces the
// present one only if the heartbeat was sent after the present run's last
// answer arrived: an instance has one run at a time, so the different run must
// then be the later one. If the answers overlap, nothing changes until the
// next heartbeat.
func (p *Peer) recordRun(boot uint64, sentAt, now clock.Millis) bool {
	switch {
	case p.Run.Boot == boot:
	case p.Run.Boot == 0:
		p.Run.Boot = boot
	case slices.Contains(p.FormerRuns, boot) || sentAt <= p.Run.LastAnswerAt:
		return false
	default:
		p.FormerRuns = append(p.FormerRuns, p.Run.Boot)
		p.FormerRuns = slices.Clone(p.FormerRuns[max(0, len(p.FormerRuns)-maxFormerRuns):])
		// The state of the former run doesn't apply to this one.
		p.StateTime = 0
		p.Run.Boot = boot
	}
	p.Run.LastAnswerAt = now
	return true
}

// OwnerState returns the state of one run of an entry. A run is dead if two
// sources agree: the platform's list, with data later than the last heartbeat or
// answer, has the instance as dead or lacks it, and its heartbeats have failed
// for [DeadAfter]. A run is also dead if another run of the same instance
// answers, or if this entry has no record of the instance and the list still
// lacks it [UnknownAfter] after the first query. Otherwise it counts as live.
func (t *Table) OwnerState(o core.Owner) core.InstanceState {
	if o.Instance == t.Self.Name {
		return t.selfState(o.Boot)
	}
	p, known := t.peers.Get(o.Instance)
	if known && p.Run.Boot == o.Boot {
		return t.state(p)
	}
	firstQuery := t.firstQueried(o)
	switch {
	case known && slices.Contains(p.FormerRuns, o.Boot):
		return core.Dead
	case known && p.Run.Boot != 0 && p.AnsweredSentAt > firstQuery:
		// An instance has one run at a time, and the run that answered after
		// the first query for this owner is a different one.
		return core.Dead
	case known && t.state(p) == core.Dead && p.ListAt > firstQuery:
		return core.Dead
	case !known && clock.Millis(t.listAt.Load()) > firstQuery+UnknownAfter:
		return core.Dead
	}
	t.probe(o.Instance)
	return core.Live
}

// selfState returns the state of a run under this instance's own name. While
// the list has the name at another address, this process may be the one that
// was replaced, so no run is declared dead.
func (t *Table) selfState(boot uint64) core.InstanceState {
	if boot != t.Boot && !t.selfMoved.Load() {
		return core.Dead
	}
	return core.Live
}

// probe makes the instance a partner until a heartbeat shows which run
// answers.
func (t *Table) probe(name string) {
	t.peers.Update(name, func(p Peer, ok bool) (Peer, bool) {
		p.RunUnknown = true
		return p, ok
	})
}

// ownerQuery holds the instants at which the state of an owner of unknown run
// was first and last queried.
type ownerQuery struct {
	first, last clock.Millis
}

// firstQueried returns the instant at which the owner was first queried.
func (t *Table) firstQueried(o core.Owner) clock.Millis {
	var first clock.Millis
	t.queries.Update(o, func(q ownerQuery, ok bool) (ownerQuery, bool) {
		q.last = t.Clock.Now()
		if !ok {
			q.first = q.last
		}
		first = q.first
		return q, true
	})
	return first
}

// state derives the state of an entry from the list, its heartbeats and its
// reported state.
func (t *Table) state(p Peer) core.InstanceState {
	if p.listedDead() && p.Failures >= minDeadFailures && t.Clock.Now()-p.FailingSince >= DeadAfter {
		return core.Dead
	}
	if p.Instance.State == core.Leaving {
		return core.Leaving
	}
	return core.Live
}

// listedDead reports whether the list, with data later than the entry's last
// heartbeat or answer, has it as dead or lacks it.
func (p *Peer) listedDead() bool {
	gone := !p.Listed || p.ListState == core.Dead
	return gone && p.ListAt > max(p.HeartbeatAt, p.AnsweredSentAt)
}
