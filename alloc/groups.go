package alloc

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

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

// enginesPerGroup is the size of a group, within a factor of the square root of 2.
// An owner then places some tens of requests a second, and a group is large enough
// to even out long and short answers.
const enginesPerGroup = 12

// GroupCount returns the number of groups for a number of engines. It is a power of
// two, so that it rarely changes when engines join or leave.
func GroupCount(engines int) int {
	if engines <= enginesPerGroup {
		return min(1, engines)
	}
	return 1 << int(math.Round(math.Log2(float64(engines)/enginesPerGroup)))
}

// Divide assigns the engines of a service to groups. Each group gets the same number
// of each role, within one, and few engines change their group when one joins or
// leaves: by rendezvous hashing with a bound on the size of a group.
func Divide(service string, ups []core.Upstream) Groups {
	byRole := make(map[core.Role][]string)
	n := 0
	for i := range ups {
		if u := &ups[i]; slices.Contains(u.Models, service) {
			byRole[u.Role] = append(byRole[u.Role], u.Name)
			n++
		}
	}
	g := Groups{N: GroupCount(n), Of: make(map[string]int, n)}
	g.Decodes = make([]int, g.N)
	for role, names := range byRole {
		for i, size := range g.divide(names) {
			if role == core.Decode {
				g.Decodes[i] = size
			}
		}
	}
	return g
}

// divide assigns engines of one role and returns the sizes of the groups.
func (g *Groups) divide(names []string) []int {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	sizes := make([]int, g.N)
	// All groups but the last few get the larger size.
	most := (len(names) + g.N - 1) / g.N
	larger := len(names) - g.N*(most-1)
	for _, name := range names {
		best, highest := -1, uint64(0)
		for i, size := range sizes {
			if size >= most || size == most-1 && larger == 0 {
				continue
			}
			if w := groupWeight(name, i); best < 0 || w > highest {
				best, highest = i, w
			}
		}
		if sizes[best]++; sizes[best] == most {
			larger--
		}
		g.Of[name] = best
	}
	return sizes
}

// groupWeight returns the rendezvous hash of an engine and a group.
func groupWeight(name string, group int) uint64 {
	h := xxhash.Sum64String(name) + uint64(group)*0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	return bits.RotateLeft64(h, 31) * 0x94d049bb133111eb
}

// Pick returns two different groups, each with the probability of its share of the
// decode engines. draw is uniform in [0, 1), as is other. Both are the same if no
// other group has decode engines. ok is false if none has.
func (g *Groups) Pick(draw, other float64) (first, second int, ok bool) {
	first = pick(g.Decodes, -1, draw)
	if first < 0 {
		return 0, 0, false
	}
	if second = pick(g.Decodes, first, other); second < 0 {
		second = first
	}
	return first, second, true
}

// pick returns an index other than skip, with a probability in proportion to its
// weight, or -1 if all weights are zero.
func pick(weights []int, skip int, draw float64) int {
	total := 0
	for i, w := range weights {
		if i != skip {
			total += w
		}
	}
	at := draw * float64(total)
	last := -1
	for i, w := range weights {
		if i == skip || w == 0 {
			continue
		}
		last = i
		if at -= float64(w); at < 0 {
			break
		}
	}
	return last
}

// ownerKey identifies a group for the choice of its owner.
func ownerKey(service string, group int) string { return service + "/" + strconv.Itoa(group) }
