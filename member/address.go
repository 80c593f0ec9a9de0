package member

import (
	"math/rand/v2"
	"sort"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// AddressTTL is how long callers may cache the list of addresses.
const AddressTTL = 5 * clock.Second

// maxAddresses bounds the addresses in one list.
const maxAddresses = 16

// serving reports whether callers may be sent to the entry. An entry with
// failing heartbeats is excluded before it counts as dead.
func (t *Table) serving(p Peer) bool {
	return t.state(p) == core.Live && t.reachable(p)
}

// reachable reports whether an entry, which may be leaving, is running and answers.
func (t *Table) reachable(p Peer) bool {
	if p.Instance.Addr == "" || p.Failures >= suspectFailures || t.state(p) == core.Dead {
		return false
	}
	recent := p.HeartbeatAt != 0 && t.Clock.Now()-p.HeartbeatAt < DeadAfter
	return recent || p.Listed && p.ListState != core.Dead
}

// self returns this entry with its present state.
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

// load returns this entry's requests in flight.
func (t *Table) load() int {
	if t.Load == nil {
		return 0
	}
	return t.Load()
}

// Live returns the entries that accept new work, sorted by name. It includes
// this entry unless it is leaving.
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

// Running returns the entries of Live and those that are leaving, sorted by name. A
// leaving entry takes no new work from its peers but still completes its requests.
func (t *Table) Running() []core.Instance {
	all := []core.Instance{t.self()}
	for _, p := range t.Peers() {
		if t.reachable(p) {
			all = append(all, p.Instance)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Addresses returns the addresses for callers to use, at most 16. Entries of
// this data centre come first; dead and leaving ones are omitted. Within a
// data centre the order is random, and entries with less load are first more
// often. If no other entry is usable, the list has this entry's own address
// even if it is leaving: it still accepts work, and an empty list would not
// help the caller.
func (t *Table) Addresses() []string {
	var all []candidate
	for _, p := range t.Peers() {
		if t.serving(p) {
			all = append(all, t.candidate(p.Instance, p.Heartbeat.Load))
		}
	}
	if self := t.self(); self.State == core.Live || len(all) == 0 {
		all = append(all, t.candidate(self, t.load()))
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].sameCentre != all[j].sameCentre {
			return all[i].sameCentre
		}
		return all[i].rank < all[j].rank
	})
	addrs := make([]string, 0, len(all))
	for _, c := range all[:min(len(all), maxAddresses)] {
		addrs = append(addrs, c.addr)
	}
	return addrs
}

// candidate is an address with its sort keys.
type candidate struct {
	addr       string
	sameCentre bool
	rank       float64
}

// candidate returns the entry's address with a random rank, drawn from an
// exponential distribution with rate 1/(1+load). The lowest rank comes first,
// so that an entry with twice the load is first half as often.
func (t *Table) candidate(in core.Instance, load int) candidate {
	return candidate{
		addr:       in.Addr,
		sameCentre: in.Centre == t.Self.Centre,
		rank:       rand.ExpFloat64() * float64(1+max(0, load)),
	}
}
