package member

import (
	"sort"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/shard"
)

// Beat is what one entry tells another of itself.
type Beat struct {
	Instance core.Instance `json:"instance"`
	Boot     uint64        `json:"boot"`
	// Version is the document's version in force there.
	Version int64 `json:"version"`
	// Load counts the requests in flight.
	Load int `json:"load"`
}

// Peer is what is known of another entry.
type Peer struct {
	Instance core.Instance
	Beat     Beat
	// Heard is the instant of the last beat, and Listed whether the
	// platform's list has the instance.
	Heard  clock.Millis
	Listed bool
}

// Table is the state of all entries. Self must be set.
type Table struct {
	Clock clock.Clock
	Self  core.Instance

	peers shard.Map[string, Peer]
}

// List takes over the platform's list.
func (t *Table) List(l core.Listing) {
	listed := make(map[string]bool)
	for _, in := range l.Instances {
		if in.Name == t.Self.Name {
			continue
		}
		listed[in.Name] = true
		t.peers.Update(in.Name, func(p Peer, _ bool) (Peer, bool) {
			p.Instance = in
			p.Listed = true
			return p, true
		})
	}
	t.peers.Each(func(name string, _ Peer) bool { return listed[name] })
}

// Heard takes over a peer's beat.
func (t *Table) Heard(b Beat) {
	t.peers.Update(b.Instance.Name, func(p Peer, _ bool) (Peer, bool) {
		p.Beat = b
		p.Heard = t.Clock.Now()
		if p.Instance.Name == "" {
			p.Instance = b.Instance
		}
		p.Instance.State = b.Instance.State
		return p, true
	})
}

// Peers returns all other entries, by name.
func (t *Table) Peers() []Peer {
	var all []Peer
	t.peers.Each(func(_ string, p Peer) bool {
		all = append(all, p)
		return true
	})
	sort.Slice(all, func(i, j int) bool { return all[i].Instance.Name < all[j].Instance.Name })
	return all
}

// AddressLife is how long callers may keep an answer of addresses.
const AddressLife = 5 * clock.Second

// Addresses returns the addresses that callers may use: those of this data
// centre first, none that is dead or leaving.
func (t *Table) Addresses() []string {
	all := []core.Instance{t.Self}
	for _, p := range t.Peers() {
		all = append(all, p.Instance)
	}
	var near, far []string
	for _, in := range all {
		switch {
		case in.State != core.Live && in.State != "":
		case in.Centre == t.Self.Centre:
			near = append(near, in.Addr)
		default:
			far = append(far, in.Addr)
		}
	}
	return append(near, far...)
}
