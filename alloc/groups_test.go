package alloc_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/alloc"
	"lacewinghook.example/lacewinghook/core"
)

const service = "verse"

// engines returns prefill and decode engines.
func engines(prefills, decodes int) []core.Upstream {
	var ups []core.Upstream
	for i := range prefills {
		ups = append(ups, core.Upstream{Name: fmt.Sprint("p", i), Role: core.Prefill, Models: []string{service}})
	}
	for i := range decodes {
		ups = append(ups, core.Upstream{Name: fmt.Sprint("d", i), Role: core.Decode, Models: []string{service}, Pieces: pieces})
	}
	return ups
}

// TestDivide checks that groups have the same number of engines of each role, and that
// few engines change their group when one leaves.
func TestDivide(t *testing.T) {
	for _, n := range [][2]int{{0, 1}, {3, 4}, {18, 38}, {40, 72}, {90, 150}} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			ups := engines(n[0], n[1])
			g := alloc.Divide(service, ups)
			is.Equal(len(g.Of), len(ups))
			sizes := map[core.Role][]int{core.Prefill: make([]int, g.N), core.Decode: make([]int, g.N)}
			for _, u := range ups {
				sizes[u.Role][g.Of[u.Name]]++
			}
			for _, counts := range sizes {
				for _, c := range counts {
					is.True(c-counts[0] <= 1 && counts[0]-c <= 1)
				}
			}
			is.Equal(sizes[core.Decode], g.Decodes)
			moved := 0
			fewer := alloc.Divide(service, ups[1:])
			for name, group := range fewer.Of {
				if fewer.N == g.N && group != g.Of[name] {
					moved++
				}
			}
			is.True(moved <= 1+len(ups)/8)
		})
	}
}

// TestPick checks that groups are picked by their engines, and twice the same only if
// there is no other.
func TestPick(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		decodes       []int
		draw, other   float64
		first, second int
		ok            bool
	}{
		{nil, 0.5, 0.5, 0, 0, false},
		{[]int{0, 0}, 0.5, 0.5, 0, 0, false},
		{[]int{0, 3}, 0, 0.9, 1, 1, true},
		{[]int{1, 3}, 0.24, 0.9, 0, 1, true},
		{[]int{1, 3}, 0.26, 0.9, 1, 0, true},
		{[]int{1, 1, 2}, 0.99, 0.6, 2, 1, true},
	} {
		g := alloc.Groups{N: len(c.decodes), Decodes: c.decodes}
		first, second, ok := g.Pick(c.draw, c.other)
		is.Equal([]any{first, second, ok}, []any{c.first, c.second, c.ok})
	}
}
