package member

import (
	"slices"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Times of the death of an entry.
const (
	// DeadAfter is how long an entry's heartbeats must have failed, beside
	// the platform's list, before it counts as dead.
	DeadAfter = 5 * clock.Second
	// deadBeats is the least number of failed heartbeats.
	deadBeats = 3
	// UnknownAfter is how long the list must have gone on without an entry
	// that was never heard of, before that counts as dead.
	UnknownAfter = 30 * clock.Second
	// maxFormer bounds the former runs that are remembered of an instance.
	maxFormer = 8
)

// runs takes note of an answer of the run boot to a beat sent at the instant
// asked, and reports whether that is the present run. A run follows another
// one only if it was asked after the other's last answer had come: an instance
// has one run at a time, so that it surely is the later one. Answers that
// crossed change nothing; the next beat tells.
func (p *Peer) runs(boot uint64, asked, now clock.Millis) bool {
	switch {
	case p.Run.Boot == boot:
	case p.Run.Boot == 0:
		p.Run.Boot = boot
	case slices.Contains(p.Former, boot) || asked <= p.Run.Seen:
		return false
	default:
		p.Former = append(p.Former, p.Run.Boot)
		p.Former = slices.Clone(p.Former[max(0, len(p.Former)-maxFormer):])
		// The state of the former run says nothing of this one.
		p.Turn = 0
		p.Run.Boot = boot
	}
	p.Run.Seen = now
	return true
}

// Owner returns the state of one run of an entry. Dead is said only if two
// witnesses agree: the platform's list has the instance as dead, or no longer
// has it, as of later than it was last heard, and its heartbeats have failed
// for [DeadAfter]; or if another run of the same instance answers. Whatever is
// not known to be dead is live.
func (t *Table) Owner(o core.Owner) core.State {
	if o.Instance == t.Self.Name {
		return t.ownRun(o.Boot)
	}
	p, known := t.peers.Get(o.Instance)
	if known && p.Run.Boot == o.Boot {
		return t.state(p)
	}
	asked := t.firstAsked(o)
	switch {
	case known && slices.Contains(p.Former, o.Boot):
		return core.Dead
	case known && p.Run.Boot != 0 && p.Answered > asked:
		// One instance has one run at a time, and the one that answered after
		// this owner was first asked for is another.
		return core.Dead
	case known && t.state(p) == core.Dead && p.ListAt > asked:
		return core.Dead
	case !known && clock.Millis(t.listAt.Load()) > asked+UnknownAfter:
		return core.Dead
	}
	t.want(o.Instance)
	return core.Live
}

// ownRun tells of a run under this instance's own name. While the list has
// that name at another address, this process may be the one replaced.
func (t *Table) ownRun(boot uint64) core.State {
	if boot != t.Boot && !t.moved.Load() {
		return core.Dead
	}
	return core.Live
}

// want makes the instance a partner until it is known which run answers.
func (t *Table) want(name string) {
	t.peers.Update(name, func(p Peer, ok bool) (Peer, bool) {
		p.Wanted = true
		return p, ok
	})
}

// inquiry is when an owner whose run isn't known was asked for.
type inquiry struct {
	first, last clock.Millis
}

// firstAsked returns the instant at which the owner was first asked for.
func (t *Table) firstAsked(o core.Owner) clock.Millis {
	var first clock.Millis
	t.asked.Update(o, func(q inquiry, ok bool) (inquiry, bool) {
		q.last = t.Clock.Now()
		if !ok {
			q.first = q.last
		}
		first = q.first
		return q, true
	})
	return first
}

// state returns the state of an entry from all witnesses.
func (t *Table) state(p Peer) core.State {
	if p.listedDead() && p.Failures >= deadBeats && t.Clock.Now()-p.Failing >= DeadAfter {
		return core.Dead
	}
	if p.Instance.State == core.Leaving {
		return core.Leaving
	}
	return core.Live
}

// listedDead reports whether the list, as of later than the entry was last
// heard, has it as dead or no longer has it.
func (p *Peer) listedDead() bool {
	gone := !p.Listed || p.ListState == core.Dead
	return gone && p.ListAt > max(p.Heard, p.Answered)
}
