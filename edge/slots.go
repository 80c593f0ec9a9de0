package edge

import (
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/slots"
	"lacewinghook.example/lacewinghook/zones"
)

// slotGroups divides the replicas of each plain service. It is immutable.
type slotGroups map[string]slots.Groups

// newSlotGroups divides the replicas of plain services.
func newSlotGroups(replicas []core.Replica) slotGroups {
	g := make(slotGroups)
	for i := range replicas {
		r := &replicas[i]
		if _, ok := g[r.Service]; !ok && r.Role == core.Service {
			g[r.Service] = slots.Divide(r.Service, replicas)
		}
	}
	return g
}

// slotsOf returns the groups of a plain service's replicas.
func (e *Edge) slotsOf(service string) slots.Groups {
	if g := e.slotGroups.Load(); g != nil {
		return (*g)[service]
	}
	return slots.Groups{}
}

// slotReplicas returns the replicas of a group that take new calls.
func (e *Edge) slotReplicas(service string, group int) []slots.Replica {
	if g := e.slotsOf(service); group >= 0 && group < g.N {
		return g.Replicas[group]
	}
	return nil
}

// centreOf returns the data centre of a listed entry.
func (e *Edge) centreOf(entry string) string {
	for _, in := range e.gossip.Listed() {
		if in.Name == entry {
			return in.Centre
		}
	}
	return ""
}

// prepareSlots initializes the components that grant the calls of plain services slots.
func (e *Edge) prepareSlots(self core.Instance) {
	e.zones = zones.Gate{Price: e.Settings.Fleet.Distance, Meter: &e.meter, Clock: e.Clock}
	e.slotDesk = slots.Desk{Replicas: e.slotReplicas, Centres: e.centreOf, Gate: &e.zones, Clock: e.Clock, Meter: &e.meter, Log: e.Log}
	e.slots = slots.Client{
		Desk: &e.slotDesk, Peers: &e.peers, Self: self, Boot: e.boot, Entries: e.owners, Groups: e.slotsOf,
		Notices: &e.notices, Clock: e.Clock, Meter: &e.meter, Log: e.Log,
	}
	e.meter.Gauge("slots_calls", func() float64 { return float64(e.slotDesk.InFlight()) })
}
