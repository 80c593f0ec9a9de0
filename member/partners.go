package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Parameters of the heartbeats between entries.
const (
	// maxFullMeshPeers is the number of peers up to which an entry sends
	// heartbeats to all of them.
	maxFullMeshPeers = 8
	// heartbeatInterval is the interval between two heartbeats to a peer.
	// Changes are sent at once; the interval determines how soon a failure is
	// detected.
	heartbeatInterval = 2 * clock.Second
	// hashedPartners is the number of partners in addition to the next entry
	// in the ring.
	hashedPartners = 3
	// maxSuspects bounds the suspect entries that receive heartbeats.
	maxSuspects = 8
	// suspectFailures is the number of failed heartbeats that makes an entry
	// suspect.
	suspectFailures = 2
)

// Intervals holds the intervals of the tasks whose cost grows with the number of
// entries: sending heartbeats and reading the platform's list.
type Intervals struct {
	Heartbeat clock.Millis
	List      clock.Millis
}

// listPausePerEntry is the pause that each peer adds to the interval
// between reads of the platform's list, so that reading the list takes the
// same share of the control traffic in large and small sets. The interval is
// at least 1 s.
const listPausePerEntry = 100 * clock.Millis(1)

// unlistedPause is the interval between reads of the list until it contains
// this entry.
const unlistedPause = 200 * clock.Millis(1)

// Intervals returns the intervals for the present number of peers.
func (t *Table) Intervals() Intervals {
	n := clock.Millis(t.peers.Len())
	intervals := Intervals{Heartbeat: heartbeatInterval, List: max(clock.Second, n*listPausePerEntry)}
	if !t.selfListed.Load() {
		intervals.List = unlistedPause
	}
	return intervals
}

// spreadPerEntry is the part of [Table.SpreadPeriod] that each peer adds.
const spreadPerEntry = 5 * clock.Millis(1)

// SpreadPeriod returns the period over which the entries spread calls to the
// platform that all of them make: 1.7 s for 330 entries.
func (t *Table) SpreadPeriod() clock.Millis {
	return clock.Millis(t.peers.Len()) * spreadPerEntry
}

// Partners returns the entries to which this one sends heartbeats. In a small
// set these are all entries. In a large set they are the next entry in the
// ring of names, which keeps the set connected, some entries selected by hash,
// which keep the paths short, and suspect entries.
func (t *Table) Partners() []core.Instance {
	var healthy, suspects []Peer
	for _, p := range t.Peers() {
		switch {
		case p.Instance.Peer == "" || t.state(p) == core.Dead:
		case p.suspect():
			suspects = append(suspects, p)
		default:
			healthy = append(healthy, p)
		}
	}
	if len(healthy)+len(suspects) > maxFullMeshPeers {
		healthy = t.selectPartners(healthy)
		sort.Slice(suspects, func(i, j int) bool { return suspects[i].FailingSince < suspects[j].FailingSince })
		suspects = suspects[:min(len(suspects), maxSuspects)]
	}
	var all []core.Instance
	for _, p := range append(healthy, suspects...) {
		all = append(all, p.Instance)
	}
	return all
}

// suspect reports whether heartbeats must be sent to the entry to determine
// its state.
func (p *Peer) suspect() bool {
	runUnclear := p.Run.Boot != 0 && (p.Heartbeat.Boot != p.Run.Boot || p.StateBoot != 0 && p.StateBoot != p.Run.Boot)
	return p.Failures >= suspectFailures || p.listedDead() || runUnclear || p.RunUnknown
}

// selectPartners selects the partners of this entry from peers, which are
// sorted by name. The selection depends on the names alone, so that
// connections are kept.
func (t *Table) selectPartners(peers []Peer) []Peer {
	if len(peers) <= hashedPartners {
		return peers
	}
	next := sort.Search(len(peers), func(i int) bool { return peers[i].Instance.Name > t.Self.Name }) % len(peers)
	successor := peers[next]
	rest := append(append([]Peer(nil), peers[:next]...), peers[next+1:]...)
	score := make(map[string]uint64, len(rest))
	for _, p := range rest {
		score[p.Instance.Name] = xxhash.Sum64String(t.Self.Name + "\x00" + p.Instance.Name)
	}
	sort.Slice(rest, func(i, j int) bool {
		return score[rest[i].Instance.Name] > score[rest[j].Instance.Name]
	})
	return append([]Peer{successor}, rest[:hashedPartners]...)
}
