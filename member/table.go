package member

import (
	"slices"
	"sort"
	"sync/atomic"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/shard"
)

// Peer is what is known of another entry. All instants are of this process.
type Peer struct {
	Instance core.Instance
	// Beat is the last beat heard, and Heard its instant.
	Beat  Beat
	Heard clock.Millis
	// Listed is whether the platform's list has the instance, ListState its
	// state there, and ListAt the instant of the list's data.
	Listed    bool
	ListState core.State
	ListAt    clock.Millis
	// Turn is that of the latest change of state heard, TurnAt the instant
	// at which it was heard, and Said the run that it is of.
	Turn   int64
	TurnAt clock.Millis
	Said   uint64
	// Run is the run of the instance that answers, and Former those that it
	// followed, the latest last.
	Run    Run
	Former []uint64
	// Answered is the instant at which the last beat that was answered was
	// sent. Failures counts the beats since then that were not, and Failing
	// is the instant at which the first of them was sent.
	Answered clock.Millis
	Failures int
	Failing  clock.Millis
	// Wanted says that it must be learnt which run of the instance answers.
	Wanted bool
}

// Run is one run of an instance, and Seen the instant at which its last answer
// came.
type Run struct {
	Boot uint64
	Seen clock.Millis
}

// Table is the state of all entries. Self must be set.
type Table struct {
	Clock clock.Clock
	Self  core.Instance
	Boot  uint64
	// State and Load, if not nil, tell of this entry itself: what it does,
	// and the requests it has in flight.
	State func() core.State
	Load  func() int
	// OnChange, if not nil, is called when there is something to pass on.
	OnChange func()

	// Document and Drains are when those were last known to be up to date.
	Document Mark
	Drains   Mark

	peers shard.Map[string, Peer]
	asked shard.Map[core.Owner, inquiry]
	// listAt is the instant of the last list's data. selfListed says that the
	// list has had this instance, and moved that it has its name at another
	// address.
	listAt     atomic.Int64
	selfListed atomic.Bool
	moved      atomic.Bool
}

// forgetAfter is how long an entry that is not listed is remembered after it
// was last heard.
const forgetAfter = 2 * clock.Minute

// List takes over the platform's list.
func (t *Table) List(l core.Listing) {
	at := t.Clock.Now() - l.Age
	listed := make(map[string]bool, len(l.Instances))
	for _, in := range l.Instances {
		if in.Name == t.Self.Name {
			t.selfListed.Store(true)
			t.moved.Store(in.Peer != t.Self.Peer)
			continue
		}
		listed[in.Name] = true
		t.peers.Update(in.Name, func(p Peer, _ bool) (Peer, bool) {
			p.list(in, at)
			return p, true
		})
	}
	t.listAt.Store(int64(at))
	t.dropUnlisted(listed, at)
}

func (p *Peer) list(in core.Instance, at clock.Millis) {
	state := p.Instance.State
	p.Instance = in
	p.Listed, p.ListState, p.ListAt = true, in.State, at
	if p.Turn != 0 {
		// The entry's own account is fresher than the list's.
		p.Instance.State = state
	}
}

func (t *Table) dropUnlisted(listed map[string]bool, at clock.Millis) {
	now := t.Clock.Now()
	var gone []string
	t.peers.Each(func(name string, p Peer) bool {
		if !listed[name] {
			gone = append(gone, name)
		}
		return listed[name] || now-p.Heard < forgetAfter
	})
	for _, name := range gone {
		t.peers.Update(name, func(p Peer, ok bool) (Peer, bool) {
			p.Listed, p.ListState, p.ListAt = false, core.Dead, at
			return p, ok
		})
	}
	t.asked.Each(func(_ core.Owner, q inquiry) bool { return now-q.last < forgetAfter })
}

// Heard takes over the beat of a peer that called. The beat may have waited
// for long while this process was frozen, so that it proves no run.
func (t *Table) Heard(b Beat) {
	t.take(b, func(*Peer) {})
}

// Answered takes over a peer's answer to a beat that was sent at the instant
// asked.
func (t *Table) Answered(b Beat, asked clock.Millis) {
	t.take(b, func(p *Peer) {
		if !slices.Contains(p.Former, b.Boot) {
			p.Failures, p.Failing = 0, 0
		}
		if p.runs(b.Boot, asked, t.Clock.Now()) {
			p.Answered = max(p.Answered, asked)
			p.Wanted = false
		}
	})
}

// Failed says that a beat sent at the instant asked was not answered.
func (t *Table) Failed(name string, asked clock.Millis) {
	t.peers.Update(name, func(p Peer, ok bool) (Peer, bool) {
		if p.Failures == 0 {
			p.Failing = asked
		}
		p.Failures++
		return p, ok
	})
}

// take keeps a beat and what it says of others.
func (t *Table) take(b Beat, and func(*Peer)) {
	if b.Instance.Name == "" || b.Instance.Name == t.Self.Name {
		return
	}
	changed := false
	t.peers.Update(b.Instance.Name, func(p Peer, ok bool) (Peer, bool) {
		if !ok {
			p.Instance = b.Instance
		}
		and(&p)
		p.Beat, p.Heard = b, t.Clock.Now()
		p.Beat.Rumours = nil
		changed = p.turn(b.rumour(), t.Clock.Now())
		return p, true
	})
	for _, r := range b.Rumours {
		t.peers.Update(r.Instance, func(p Peer, ok bool) (Peer, bool) {
			if ok && p.turn(r, t.Clock.Now()) {
				changed = true
			}
			return p, ok
		})
	}
	if changed && t.OnChange != nil {
		t.OnChange()
	}
}

// turn takes over a state if its turn is later than the one known, and
// reports whether that is a change: another state, or another run.
func (p *Peer) turn(r Rumour, now clock.Millis) bool {
	if r.Turn <= p.Turn {
		return false
	}
	changed := p.Instance.State != r.State || p.Said != r.Boot
	p.Turn, p.TurnAt, p.Said = r.Turn, now, r.Boot
	p.Instance.State = r.State
	return changed
}

// Rumours returns the latest changes of other entries' states, to pass on.
func (t *Table) Rumours() []Rumour {
	now := t.Clock.Now()
	var all []Peer
	t.peers.Each(func(_ string, p Peer) bool {
		if p.Turn != 0 && now-p.TurnAt < rumourLife {
			all = append(all, p)
		}
		return true
	})
	sort.Slice(all, func(i, j int) bool { return all[i].Turn > all[j].Turn })
	var rumours []Rumour
	for _, p := range all[:min(len(all), maxRumours)] {
		rumours = append(rumours, Rumour{
			Instance: p.Instance.Name, Boot: p.Said, State: p.Instance.State, Turn: p.Turn,
		})
	}
	return rumours
}

// Peers returns all other entries, by name.
func (t *Table) Peers() []Peer {
	all := t.peers.Values()
	sort.Slice(all, func(i, j int) bool { return all[i].Instance.Name < all[j].Instance.Name })
	return all
}

// NameOf returns the name of the entry that listens for peers at addr.
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
