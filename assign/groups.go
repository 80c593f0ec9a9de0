package assign

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// upstreamsPerGroup is the size of a group, within a factor of the square root of 2.
// An owner then places some tens of completions a second, and a group is large enough
// to even out long and short answers.
const upstreamsPerGroup = 12

// GroupCount returns the number of groups for a number of upstreams. It is a power of
// two, so that it rarely changes when upstreams join or leave.
func GroupCount(upstreams int) int {
	if upstreams <= upstreamsPerGroup {
		return min(1, upstreams)
	}
	return 1 << int(math.Round(math.Log2(float64(upstreams)/upstreamsPerGroup)))
}

// GroupKey identifies a group of a service's upstreams for the choice of its owner.
func GroupKey(service string, group int) string { return service + "/" + strconv.Itoa(group) }

// Divide assigns upstreams of one kind to n groups. It adds the group of each to of, and
// returns the sizes of the groups, which differ by one at most. Few upstreams change their
// group when one joins or leaves: by rendezvous hashing with a bound on the size of a
// group. It sorts names.
func Divide(names []string, n int, of map[string]int) (sizes []int) {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	sizes = make([]int, n)
	// All groups but the last few get the larger size.
	most := (len(names) + n - 1) / max(1, n)
	larger := len(names) - n*(most-1)
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
		of[name] = best
	}
	return sizes
}

// groupWeight returns the rendezvous hash of an upstream and a group.
func groupWeight(name string, group int) uint64 {
	h := xxhash.Sum64String(name) + uint64(group)*0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	return bits.RotateLeft64(h, 31) * 0x94d049bb133111eb
}

// Pick returns two different groups, each with the probability of its share of the
// weights. draw is uniform in [0, 1), as is other. Both are the same if no other group
// has a weight above zero. ok is false if none has.
func Pick(weights []int, draw, other float64) (first, second int, ok bool) {
	first = pick(weights, -1, draw)
	if first < 0 {
		return 0, 0, false
	}
	if second = pick(weights, first, other); second < 0 {
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
