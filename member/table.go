package member

import (
	"slices"
	"sort"
	"sync/atomic"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/shard"
)

// Peer is the recorded state of another entry. All instants are on this
// process's clock.
type Peer struct {
	Instance core.Instance
	// Heartbeat is the last heartbeat received, and HeartbeatAt the instant at
	// which it arrived.
	Heartbeat   Heartbeat
	HeartbeatAt clock.Millis
	// Listed reports whether the platform's list contains the instance,
	// ListState is its state there, and ListAt the instant of the list's data.
	Listed    bool
	ListState core.InstanceState
	ListAt    clock.Millis
	// StateTime is that of the latest reported state change, StateReportedAt
	// the instant at which the report arrived, and StateBoot the run whose
	// state changed.
	StateTime       int64
	StateReportedAt clock.Millis
	StateBoot       uint64
	// Run is the run of the instance that answers, and FormerRuns those before
	// it, the latest last.
	Run        Run
	FormerRuns []uint64
	// AnsweredSentAt is the instant at which the last answered heartbeat was sent.
	// Failures counts the heartbeats that have failed since, and FailingSince
	// is the instant at which the first of them was sent.
	AnsweredSentAt clock.Millis
	Failures       int
	FailingSince   clock.Millis
	// RunUnknown requests heartbeats to determine which run of the instance
	// answers.
	RunUnknown bool
}

// Run is one run of an instance, and LastAnswer the instant at which its last
// answer arrived.
type Run struct {
	Boot         uint64
	LastAnswerAt clock.Millis
}

// Table is the membership table. Self is required.
type Table struct {
	Clock clock.Clock
	Self  core.Instance
	Boot  uint64
	// State and Load, if not nil, return this entry's own state and its number
	// of requests in flight.
	State func() core.InstanceState
	Load  func() int
	// OnChange, if not nil, is called when a state change has arrived that must
	// be relayed to other entries.
	OnChange func()

	// Document and Drains record when each was last confirmed to be up to
	// date.
	Document Freshness
	Drains   Freshness

	// peers maps the names of instances to peers.
	peers   shard.Map[string, Peer]
	queries shard.Map[core.Owner, ownerQuery]
	// listAt is the instant of the last list's data. selfListed is set once a
	// list has contained this instance, and selfMoved while the list has its
	// name at another address.
	listAt     atomic.Int64
	selfListed atomic.Bool
	selfMoved  atomic.Bool
}

// unlistedTimeout is how long an unlisted entry is kept after its last
// heartbeat, and an owner query after its last use.
const unlistedTimeout = 2 * clock.Minute

// ApplyList applies the platform's list.
func (t *Table) ApplyList(l core.Listing) {
	at := t.Clock.Now() - l.Age
	listed := make(map[string]bool, len(l.Instances))
	for _, in := range l.Instances {
		if in.Name == t.Self.Name {
			t.selfListed.Store(true)
			t.selfMoved.Store(in.Peer != t.Self.Peer)
			continue
		}
		listed[in.Name] = true
		t.peers.Update(in.Name, func(p Peer, _ bool) (Peer, bool) {
			p.applyListed(in, at)
			return p, true
		})
	}
	t.listAt.Store(int64(at))
	t.dropUnlisted(listed, at)
}

// applyListed updates the peer from its row in the list.
func (p *Peer) applyListed(in core.Instance, at clock.Millis) {
	state := p.Instance.State
	p.Instance = in
	p.Listed, p.ListState, p.ListAt = true, in.State, at
	if p.StateTime != 0 {
		// The state reported by the entry itself is more recent than the list.
		p.Instance.State = state
	}
}

// dropUnlisted marks the peers that the list lacks as dead there, and removes
// them once their last heartbeat is older than unlistedTimeout.
func (t *Table) dropUnlisted(listed map[string]bool, at clock.Millis) {
	now := t.Clock.Now()
	var gone []string
	t.peers.Each(func(name string, p Peer) bool {
		if !listed[name] {
			gone = append(gone, name)
		}
		return listed[name] || now-p.HeartbeatAt < unlistedTimeout
	})
	for _, name := range gone {
		t.peers.Update(name, func(p Peer, ok bool) (Peer, bool) {
			p.Listed, p.ListState, p.ListAt = false, core.Dead, at
			return p, ok
		})
	}
	t.queries.Each(func(_ core.Owner, q ownerQuery) bool { return now-q.last < unlistedTimeout })
}

// HandleHeartbeat processes a heartbeat from a peer. It may have been read late
// because this process was frozen, so it doesn't show which run is the present
// one.
func (t *Table) HandleHeartbeat(h Heartbeat) {
	t.apply(h, func(*Peer) {})
}

// HandleAnswer processes a peer's answer to a heartbeat that was sent at sentAt.
func (t *Table) HandleAnswer(h Heartbeat, sentAt clock.Millis) {
	t.apply(h, func(p *Peer) {
		if !slices.Contains(p.FormerRuns, h.Boot) {
			p.Failures, p.FailingSince = 0, 0
		}
		if p.recordRun(h.Boot, sentAt, t.Clock.Now()) {
			p.AnsweredSentAt = max(p.AnsweredSentAt, sentAt)
			p.RunUnknown = false
		}
	})
}

// RecordFailure records that a heartbeat sent at sentAt was not answered.
func (t *Table) RecordFailure(name string, sentAt clock.Millis) {
	t.peers.Update(name, func(p Peer, ok bool) (Peer, bool) {
		if p.Failures == 0 {
			p.FailingSince = sentAt
		}
		p.Failures++
		return p, ok
	})
}

// apply stores a heartbeat and the state changes that it relays. update is
// called on the sender's peer first.
func (t *Table) apply(h Heartbeat, update func(*Peer)) {
	if h.Instance.Name == "" || h.Instance.Name == t.Self.Name {
		return
	}
	changed := false
	t.peers.Update(h.Instance.Name, func(p Peer, ok bool) (Peer, bool) {
		if !ok {
			p.Instance = h.Instance
		}
		update(&p)
		p.Heartbeat, p.HeartbeatAt = h, t.Clock.Now()
		p.Heartbeat.StateChanges = nil
		changed = p.applyStateChange(h.stateChange(), t.Clock.Now())
		return p, true
	})
	for _, c := range h.StateChanges {
		t.peers.Update(c.Instance, func(p Peer, ok bool) (Peer, bool) {
			if ok && p.applyStateChange(c, t.Clock.Now()) {
				changed = true
			}
			return p, ok
		})
	}
	if changed && t.OnChange != nil {
		t.OnChange()
	}
}

// applyStateChange applies a state change if its StateTime is later than the
// recorded one, and reports whether the state or the run differs.
func (p *Peer) applyStateChange(c StateChange, now clock.Millis) bool {
	if c.StateTime <= p.StateTime {
		return false
	}
	changed := p.Instance.State != c.State || p.StateBoot != c.Boot
	p.StateTime, p.StateReportedAt, p.StateBoot = c.StateTime, now, c.Boot
	p.Instance.State = c.State
	return changed
}

// StateChanges returns the latest state changes of other entries, which this
// entry relays.
func (t *Table) StateChanges() []StateChange {
	now := t.Clock.Now()
	var all []Peer
	t.peers.Each(func(_ string, p Peer) bool {
		if p.StateTime != 0 && now-p.StateReportedAt < relayFor {
			all = append(all, p)
		}
		return true
	})
	sort.Slice(all, func(i, j int) bool { return all[i].StateTime > all[j].StateTime })
	var changes []StateChange
	for _, p := range all[:min(len(all), maxStateChanges)] {
		changes = append(changes, StateChange{
			Instance: p.Instance.Name, Boot: p.StateBoot, State: p.Instance.State, StateTime: p.StateTime,
		})
	}
	return changes
}

// Peers returns all other entries, sorted by name.
func (t *Table) Peers() []Peer {
	all := t.peers.Values()
	sort.Slice(all, func(i, j int) bool { return all[i].Instance.Name < all[j].Instance.Name })
	return all
}

// NameOf returns the name of the entry whose peer address is addr.
func (t *Table) NameOf(addr string) (string, bool) {
	name := ""
	t.peers.Each(func(n string, p Peer) bool {
		if p.Instance.Peer == addr {
			name = n
		}
		return true
	})
	return name, name != ""
}
