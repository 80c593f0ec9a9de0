package alloc

import (
	"slices"

	"lacewinghook.example/lacewinghook/assign"
	"lacewinghook.example/lacewinghook/core"
)

// Groups divides the engines of one service. The zero value has no group.
type Groups struct {
	// N is the number of groups, and Of the group of each engine.
	N  int
	Of map[string]int
	// Decodes counts the decode engines of each group.
	Decodes []int
}

// Divide assigns the engines of a service to groups. Each group gets the same number
// of each role, within one, and few engines change their group when one joins or
// leaves.
func Divide(service string, ups []core.Upstream) Groups {
	byRole := make(map[core.Role][]string)
	n := 0
	for i := range ups {
		if u := &ups[i]; slices.Contains(u.Models, service) {
			byRole[u.Role] = append(byRole[u.Role], u.Name)
			n++
		}
	}
	g := Groups{N: assign.GroupCount(n), Of: make(map[string]int, n)}
	g.Decodes = make([]int, g.N)
	for role, names := range byRole {
		sizes := assign.Divide(names, g.N, g.Of)
		if role == core.Decode {
			g.Decodes = sizes
		}
	}
	return g
}

// Pick returns two different groups, each with the probability of its share of the
// decode engines. draw is uniform in [0, 1), as is other. Both are the same if no
// other group has decode engines. ok is false if none has.
func (g *Groups) Pick(draw, other float64) (first, second int, ok bool) {
	return assign.Pick(g.Decodes, draw, other)
}
