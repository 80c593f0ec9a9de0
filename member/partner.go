package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// How entries beat each other.
const (
	// fullMesh is the number of peers up to which an entry beats them all.
	fullMesh = 8
	// beatPause is the time between two beats of one peer. News doesn't wait
	// for it; the time until a failure is noticed does.
	beatPause = 2 * clock.Second
	// chosen is the number of partners beside the next entry in the ring.
	chosen = 3
	// maxSuspects bounds the entries that are beaten since something seems
	// wrong with them.
	maxSuspects = 8
	// suspectBeats is the number of failed beats that make a suspect.
	suspectBeats = 2
)

// Pace is how often an entry does what grows with the number of entries.
type Pace struct {
	Beat clock.Millis
	List clock.Millis
}

// listPausePerEntry is the pause for each entry in the platform's list, so that
// reading it takes the same share of a large set's control bytes as of a
// small one's.
const listPausePerEntry = 100 * clock.Millis(1)

// firstListPause is the pause until the list has this entry.
const firstListPause = 200 * clock.Millis(1)

// Pace returns the pace that fits the number of known entries.
func (t *Table) Pace() Pace {
	n := clock.Millis(t.peers.Len())
	p := Pace{Beat: beatPause, List: max(clock.Second, n*listPausePerEntry)}
	if !t.selfListed.Load() {
		p.List = firstListPause
	}
	return p
}

// spreadPerEntry is what each known entry adds to [Table.Spread].
const spreadPerEntry = 5 * clock.Millis(1)

// Spread returns the time over which entries that all want the same thing from
// the platform spread their calls: 1.7 s for 330 entries.
func (t *Table) Spread() clock.Millis {
	return clock.Millis(t.peers.Len()) * spreadPerEntry
}

// Partners returns the entries that this one beats: all of a small set; of a
// large one the next in the ring of names, which joins the set together, some
// chosen by hash, which keep the ways short, and those that are suspect.
func (t *Table) Partners() []core.Instance {
	var alive, suspects []Peer
	for _, p := range t.Peers() {
		switch {
		case p.Instance.Peer == "" || t.state(p) == core.Dead:
		case p.suspect():
			suspects = append(suspects, p)
		default:
			alive = append(alive, p)
		}
	}
	if len(alive)+len(suspects) > fullMesh {
		alive = t.choose(alive)
		sort.Slice(suspects, func(i, j int) bool { return suspects[i].Failing < suspects[j].Failing })
		suspects = suspects[:min(len(suspects), maxSuspects)]
	}
	var all []core.Instance
	for _, p := range append(alive, suspects...) {
		all = append(all, p.Instance)
	}
	return all
}

// suspect reports whether the entry must be beaten to learn its state.
func (p *Peer) suspect() bool {
	other := p.Run.Boot != 0 && (p.Beat.Boot != p.Run.Boot || p.Said != 0 && p.Said != p.Run.Boot)
	return p.Failures >= suspectBeats || p.listedDead() || other || p.Wanted
}

// choose returns the partners of this entry among peers in the order of their
// names. The choice depends on the names alone, so that connections last.
func (t *Table) choose(peers []Peer) []Peer {
	if len(peers) <= chosen {
		return peers
	}
	next := sort.Search(len(peers), func(i int) bool { return peers[i].Instance.Name > t.Self.Name }) % len(peers)
	ring := peers[next]
	rest := append(append([]Peer(nil), peers[:next]...), peers[next+1:]...)
	weight := make(map[string]uint64, len(rest))
	for _, p := range rest {
		weight[p.Instance.Name] = xxhash.Sum64String(t.Self.Name + "\x00" + p.Instance.Name)
	}
	sort.Slice(rest, func(i, j int) bool {
		return weight[rest[i].Instance.Name] > weight[rest[j].Instance.Name]
	})
	return append([]Peer{ring}, rest[:chosen]...)
}
