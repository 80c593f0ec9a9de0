package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewinghook.example/lacewinghook/core"
)

// MaxMesh is the number of entries up to which each exchanges heartbeats with all
// others. Among more, an entry has neighbours only, so that its messages don't grow
// with the number of entries.
const MaxMesh = 12

// Number of neighbours that an entry selects in its own data centre and in others.
// It is also a neighbour of the entries that select it, about as many again.
const (
	nearNeighbours = 4
	farNeighbours  = 2
)

// roster is an immutable set of listed entries. A nil roster is empty.
type roster struct {
	// all holds the addresses of the listed entries, and self is this entry's.
	all  map[string]bool
	self string
	// sparse is set if there are more than MaxMesh, and neighbours then holds the
	// addresses of this entry's neighbours.
	sparse     bool
	neighbours map[string]bool
	list       []core.Instance
}

// newRoster returns the roster of the entry with the address self.
func newRoster(self string, list []core.Instance) *roster {
	r := &roster{all: make(map[string]bool, len(list)), self: self, sparse: len(list) > MaxMesh, list: list}
	for _, in := range list {
		r.all[in.Peer] = true
	}
	if r.sparse {
		r.neighbours = neighbours(self, list)
	}
	return r
}

// Sparse reports whether there are too many entries for heartbeats between all.
func (t *Table) Sparse() bool {
	r := t.roster.Load()
	return r != nil && r.sparse
}

// Listed returns the entries listed in the platform's table. The caller must not
// change the list.
func (t *Table) Listed() []core.Instance {
	if r := t.roster.Load(); r != nil {
		return r.list
	}
	return nil
}

// Neighbours returns the addresses of the listed entries that this entry exchanges
// heartbeats with.
func (t *Table) Neighbours() []string {
	r := t.roster.Load()
	var addrs []string
	for _, in := range t.Listed() {
		if in.Peer != t.Self && r.neighbour(in.Peer) {
			addrs = append(addrs, in.Peer)
		}
	}
	return addrs
}

// listed reports whether the entry at addr is listed.
func (r *roster) listed(addr string) bool {
	return r != nil && r.all[addr]
}

// neighbour reports whether heartbeats are exchanged with the listed entry at addr.
func (r *roster) neighbour(addr string) bool {
	return r.listed(addr) && (!r.sparse || r.neighbours[addr])
}

// others returns the number of listed entries but this one.
func (r *roster) others() int {
	switch {
	case r == nil:
		return 0
	case r.all[r.self]:
		return len(r.all) - 1
	}
	return len(r.all)
}

// neighbours returns the addresses of self's neighbours. Two entries are neighbours
// if either selects the other, by the highest rendezvous hashes: both then agree,
// and few change their neighbours when an entry joins or leaves. The graph is a
// random one, in which any two of some hundred entries are a few steps apart.
func neighbours(self string, list []core.Instance) map[string]bool {
	found := make(map[string]bool)
	sums := make([]uint64, len(list))
	for i := range list {
		sums[i] = xxhash.Sum64String(list[i].Peer)
	}
	for i := range list {
		for _, j := range selected(list, sums, i) {
			switch {
			case list[i].Peer == self:
				found[list[j].Peer] = true
			case list[j].Peer == self:
				found[list[i].Peer] = true
			}
		}
	}
	return found
}

// selected returns the indices of the neighbours that entry i selects.
func selected(list []core.Instance, sums []uint64, i int) []int {
	type scored struct {
		weight uint64
		index  int
	}
	var near, far []scored
	// keep adds an entry to the best ones, of which there are n.
	keep := func(best []scored, n int, s scored) []scored {
		if len(best) == n && s.weight <= best[n-1].weight {
			return best
		}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int { return cmp.Compare(b.weight, a.weight) })
		best = slices.Insert(best, at, s)
		return best[:min(len(best), n)]
	}
	for j := range list {
		if j == i {
			continue
		}
		s := scored{pairWeight(sums[i], sums[j]), j}
		if list[j].Centre == list[i].Centre {
			near = keep(near, nearNeighbours, s)
		} else {
			far = keep(far, farNeighbours, s)
		}
	}
	var indices []int
	for _, s := range append(near, far...) {
		indices = append(indices, s.index)
	}
	return indices
}

// pairWeight returns a hash of two entries that doesn't depend on their order.
func pairWeight(a, b uint64) uint64 {
	h := (a ^ b) * 0x9e3779b97f4a7c15
	h = (h ^ h>>32) * 0xbf58476d1ce4e5b9
	return h ^ h>>29
}
