package route_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/route"
)

// TestDirect checks when a decode upstream computes the prompt itself.
func TestDirect(t *testing.T) {
	prefill := func(queue int) route.Candidate {
		return route.Candidate{Name: "p", QueuedTokens: queue, Speed: 30, FirstToken: 10}
	}
	decode := func(free, running int) route.Candidate {
		return route.Candidate{Name: "g", Pieces: 38, Free: free, Running: running, Speed: 15, FirstToken: 10}
	}
	q := route.Query{Tokens: 3000, Pieces: 4}
	cases := map[string]struct {
		prefills, decodes []route.Candidate
		overcommit        bool
		ok, direct        bool
		decode            int
	}{
		"an idle prefill upstream":                  {[]route.Candidate{prefill(0)}, []route.Candidate{decode(38, 0)}, false, true, false, 0},
		"a long queue before an idle decode":        {[]route.Candidate{prefill(30000)}, []route.Candidate{decode(38, 0)}, false, true, true, 0},
		"a queue before a busy decode":              {[]route.Candidate{prefill(6000)}, []route.Candidate{decode(20, 8)}, false, true, false, 0},
		"no prefill upstream":                       {nil, []route.Candidate{decode(38, 0)}, false, true, true, 0},
		"no prefill upstream, the idle decode":      {nil, []route.Candidate{decode(20, 6), decode(38, 0)}, false, true, true, 1},
		"no memory":                                 {[]route.Candidate{prefill(0)}, []route.Candidate{decode(3, 9)}, false, false, false, 0},
		"no memory, though allowed":                 {nil, []route.Candidate{decode(3, 9)}, true, true, true, 0},
		"no decode upstream":                        {[]route.Candidate{prefill(0)}, nil, false, false, false, 0},
		"memory at the second decode upstream only": {[]route.Candidate{prefill(0)}, []route.Candidate{decode(1, 9), decode(9, 9)}, false, true, false, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := route.Direct{Pair: route.Cost{NoJitter: true, Overcommit: c.overcommit}}
			got, ok := d.Choose(q, c.prefills, c.decodes)
			is.Equal(ok, c.ok)
			if ok {
				is.Equal(got.Direct, c.direct)
				is.Equal(got.Decode, c.decode)
			}
		})
	}
}

// TestDirectUsesPairForExport checks that a decode upstream doesn't compute a prompt
// that is already computed.
func TestDirectUsesPairForExport(t *testing.T) {
	is := is.New(t)
	decodes := []route.Candidate{{Name: "g", Pieces: 38, Free: 38, Speed: 15}}
	got, ok := route.Direct{}.Choose(route.Query{Tokens: 3000, Pieces: 4, Exported: true}, nil, decodes)
	is.True(ok)
	is.True(!got.Direct)
}
