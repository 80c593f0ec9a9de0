package slots

import (
	"lacewinghook.example/lacewinghook/assign"
	"lacewinghook.example/lacewinghook/core"
)

// Groups divides the replicas of one service. The zero value has no group.
type Groups struct {
	// N is the number of groups, and Of the group of each replica.
	N  int
	Of map[string]int
	// Slots counts the slots of each group, and Replicas lists its replicas, both without
	// those that leave.
	Slots    []int
	Replicas [][]Replica
}

// Divide divides the replicas of a service into groups. It returns the zero value if one
// of them doesn't publish its slots: calls can't be counted against them then.
func Divide(service string, fleet []core.Replica) Groups {
	var names []string
	for i := range fleet {
		r := &fleet[i]
		if r.Service != service || r.Role != core.Service {
			continue
		}
		if r.Slots == 0 {
			return Groups{}
		}
		names = append(names, r.Name)
	}
	n := assign.GroupCount(len(names))
	g := Groups{N: n, Of: make(map[string]int, len(names)), Slots: make([]int, n), Replicas: make([][]Replica, n)}
	assign.Divide(names, n, g.Of)
	for i := range fleet {
		r := &fleet[i]
		if r.Service != service || r.Role != core.Service || r.Leaving {
			continue
		}
		group := g.Of[r.Name]
		g.Slots[group] += r.Slots
		g.Replicas[group] = append(g.Replicas[group], Replica{Name: r.Name, Centre: r.Centre, Slots: r.Slots, Run: r.Incarnation})
	}
	return g
}

// Pick returns two different groups, each with the probability of its share of the slots.
// Both are the same if no other group has slots. ok is false if none has.
func (g *Groups) Pick(draw, other float64) (first, second int, ok bool) {
	return assign.Pick(g.Slots, draw, other)
}
