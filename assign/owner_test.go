package assign_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/assign"
	"lacewinghook.example/lacewinghook/core"
)

// entries returns n live entries.
func entries(n int) []core.Instance {
	var all []core.Instance
	for i := range n {
		all = append(all, core.Instance{Name: fmt.Sprint("e", i)})
	}
	return all
}

// TestOwnersAreBalancedAndStable removes an entry and checks that only its upstreams
// are reassigned.
func TestOwnersAreBalancedAndStable(t *testing.T) {
	is := is.New(t)
	const upstreams, n = 3000, 30
	all := entries(n)
	counts := make(map[string]int)
	moved := 0
	for i := range upstreams {
		name := fmt.Sprint("up", i)
		before := assign.Owner(name, all)
		counts[before]++
		if after := assign.Owner(name, all[1:]); after != before {
			is.Equal(before, all[0].Name) // only the upstreams of the removed entry move
			moved++
		}
	}
	is.Equal(moved, counts[all[0].Name])
	for _, in := range all {
		is.True(counts[in.Name] > upstreams/n/2) // at least half a fair share
	}
	is.Equal(assign.Owner("up", nil), "")
}

// TestLargeEntriesOwnMore guards against owners on machines that are too small for the
// questions of all entries.
func TestLargeEntriesOwnMore(t *testing.T) {
	is := is.New(t)
	all := entries(83)
	for i := range all {
		all[i].Share = 0.192
		if i < 8 {
			all[i].Share = 0.8
		}
	}
	const keys = 3000
	large := make(map[string]int)
	for i := range keys {
		if name := assign.Owner(fmt.Sprint("key", i), all); slices.ContainsFunc(all[:8], func(in core.Instance) bool { return in.Name == name }) {
			large[name]++
		}
	}
	sum := 0
	for _, n := range large {
		sum += n
		is.True(n > keys/8/2) // the large ones share the work
	}
	is.True(sum > keys*4/5)
}
