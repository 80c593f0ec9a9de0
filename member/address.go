package member

import (
	"math/rand/v2"
	"sort"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// AddressLife is how long callers may keep an answer of addresses.
const AddressLife = 5 * clock.Second

// maxAddresses bounds one answer.
const maxAddresses = 16

// serving reports whether callers may be sent to the entry. One that fails
// its heartbeats is left out before it counts as dead.
func (t *Table) serving(p Peer) bool {
	if p.Instance.Addr == "" || p.Failures >= suspectBeats || t.state(p) != core.Live {
		return false
	}
	heard := p.Heard != 0 && t.Clock.Now()-p.Heard < DeadAfter
	return heard || p.Listed && p.ListState != core.Dead
}

// self returns this entry as it is.
func (t *Table) self() core.Instance {
	self := t.Self
	if t.State != nil {
		self.State = t.State()
	}
	if self.State == "" {
		self.State = core.Live
	}
	return self
}

func (t *Table) load() int {
	if t.Load == nil {
		return 0
	}
	return t.Load()
}

// Live returns the entries that take new work, this one among them unless it
// is leaving, in the order of their names.
func (t *Table) Live() []core.Instance {
	var all []core.Instance
	for _, p := range t.Peers() {
		if t.serving(p) {
			all = append(all, p.Instance)
		}
	}
	if self := t.self(); self.State == core.Live {
		all = append(all, self)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Addresses returns the addresses that callers may use: those of this data
// centre first, none that is dead or leaving, and among equals the ones with
// less load more often at the front. If no other is known, it is this entry's
// own, be it leaving: it still takes work, and no address at all is no help.
func (t *Table) Addresses() []string {
	var all []candidate
	for _, p := range t.Peers() {
		if t.serving(p) {
			all = append(all, t.candidate(p.Instance, p.Beat.Load))
		}
	}
	if self := t.self(); self.State == core.Live || len(all) == 0 {
		all = append(all, t.candidate(self, t.load()))
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].near != all[j].near {
			return all[i].near
		}
		return all[i].draw < all[j].draw
	})
	addrs := make([]string, 0, len(all))
	for _, c := range all[:min(len(all), maxAddresses)] {
		addrs = append(addrs, c.addr)
	}
	return addrs
}

// candidate is one address with its place in the order.
type candidate struct {
	addr string
	near bool
	draw float64
}

// candidate draws the place of an entry in the order: the earliest of several
// draws at the rates 1/(1+load) comes first, so that an entry with twice the
// load is first half as often.
func (t *Table) candidate(in core.Instance, load int) candidate {
	return candidate{
		addr: in.Addr,
		near: in.Centre == t.Self.Centre,
		draw: rand.ExpFloat64() * float64(1+max(0, load)),
	}
}
