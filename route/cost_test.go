package route_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/route"
)

// candidates returns n identical upstreams of each role.
func candidates(n int) (prefills, decodes []route.Candidate) {
	for i := range n {
		prefills = append(prefills, route.Candidate{Name: fmt.Sprint("p", i), Speed: 8, LinkRate: 1000})
		decodes = append(decodes, route.Candidate{Name: fmt.Sprint("d", i), Pieces: 60, Free: 60, FirstToken: 50, TokenTime: 20, LinkRate: 1000})
	}
	return prefills, decodes
}

// TestCostConsidersEachField changes one field of a candidate and checks that the
// choice follows it.
func TestCostConsidersEachField(t *testing.T) {
	base := route.Query{Tokens: 2048, Pieces: 3, Bytes: 2048 * 1024, Output: 50}
	for name, tc := range map[string]struct {
		edit            func(p, d []route.Candidate)
		prefill, decode int
	}{
		"queue":                                {func(p, _ []route.Candidate) { p[0].QueuedTokens = 4096 }, 1, 0},
		"straggling prefill":                   {func(p, _ []route.Candidate) { p[0].Slowdown = 5 }, 1, 0},
		"cached prefix":                        {func(p, _ []route.Candidate) { p[1].CachedBlocks = 6 }, 1, 0},
		"queue outweighs a short prefix match": {func(p, _ []route.Candidate) { p[1].CachedBlocks = 1; p[1].QueuedTokens = 4096 }, 0, 0},
		"memory":                               {func(_, d []route.Candidate) { d[0].Free = 2 }, 0, 1},
		"straggling decode":                    {func(_, d []route.Candidate) { d[0].Slowdown = 5 }, 0, 1},
		"busy link of the prefill upstream":    {func(p, _ []route.Candidate) { p[0].TransferBytes = 1 << 22 }, 1, 0},
		"busy link of the decode upstream":     {func(_, d []route.Candidate) { d[0].TransferBytes = 1 << 22 }, 0, 1},
		"data centre": {func(p, d []route.Candidate) {
			p[0].Centre, d[0].Centre = "weyburn", "weyburn"
		}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, d := candidates(2)
			tc.edit(p, d)
			c, ok := route.Cost{NoJitter: true}.Choose(base, p, d)
			is.True(ok)
			is.Equal([]int{c.Prefill, c.Decode}, []int{tc.prefill, tc.decode})
		})
	}
}

// TestCostRejectsWithoutMemory checks when a choice is refused.
func TestCostRejectsWithoutMemory(t *testing.T) {
	is := is.New(t)
	p, d := candidates(2)
	_, ok := route.Cost{}.Choose(route.Query{Tokens: 100, Pieces: 61}, p, d)
	is.True(!ok)
	_, ok = route.Cost{Overcommit: true}.Choose(route.Query{Tokens: 100, Pieces: 61}, p, d)
	is.True(ok)
	_, ok = route.Cost{}.Choose(route.Query{Tokens: 100, Pieces: 1, Exported: true}, nil, d)
	is.True(ok) // a computed prompt needs no prefill
	_, ok = route.Cost{}.Choose(route.Query{Tokens: 100, Pieces: 1}, nil, d)
	is.True(!ok)
}

// TestEqualPairsAreSpread guards against several entries with the same reports that
// all select the same pair.
func TestEqualPairsAreSpread(t *testing.T) {
	is := is.New(t)
	p, d := candidates(8)
	counts := make([]int, 8)
	const draws = 8000
	for i := range uint64(draws) {
		c, ok := route.Cost{}.Choose(route.Query{Tokens: 100, Pieces: 1, Seed: i * 0x9e3779b97f4a7c15}, p, d)
		is.True(ok)
		counts[c.Prefill]++
	}
	for _, n := range counts {
		is.True(n > draws/16) // at least half of the fair share each
	}
}

// BenchmarkChoosePair chooses among n upstreams of each role.
func BenchmarkChoosePair(b *testing.B) {
	for _, n := range []int{32, 64} {
		b.Run(fmt.Sprintf("%dx%d", n, n), func(b *testing.B) {
			p, d := candidates(n)
			b.ReportAllocs()
			i := uint64(0)
			for b.Loop() {
				i++
				_, ok := route.Cost{}.Choose(route.Query{Tokens: 2048, Pieces: 3, Bytes: 1 << 21, Seed: i}, p, d)
				if !ok {
					b.Fatal("no pair")
				}
			}
		})
	}
}
