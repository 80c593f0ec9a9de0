package route_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/route"
)

// TestLeastTime checks which replica of a plain service is selected.
func TestLeastTime(t *testing.T) {
	fast := func(inFlight int) route.Replica {
		return route.Replica{Name: "fast", MeanTime: 1, Samples: 50, InFlight: inFlight}
	}
	for name, c := range map[string]struct {
		replicas []route.Replica
		want     int
	}{
		"none":                                      {nil, -1},
		"fewer calls in flight":                     {[]route.Replica{fast(3), fast(2)}, 1},
		"a new replica beside a busy fast one":      {[]route.Replica{fast(3), {Name: "new"}}, 1},
		"an idle fast one beside a new one":         {[]route.Replica{{Name: "new"}, fast(0)}, 1},
		"a slow one beside a new one":               {[]route.Replica{{MeanTime: 500, Samples: 20}, {Name: "new"}}, 1},
		"an excluded one":                           {[]route.Replica{{Excluded: true}, {MeanTime: 500, Samples: 20}}, 1},
		"a leaving one":                             {[]route.Replica{{Leaving: true}, {MeanTime: 500, Samples: 20, InFlight: 5000}}, 1},
		"a leaving one beside an excluded one":      {[]route.Replica{{Excluded: true}, {Leaving: true, MeanTime: 500, Samples: 20}}, 1},
		"another data centre":                       {[]route.Replica{{Centre: "far"}, {}}, 1},
		"another data centre, less load by far":     {[]route.Replica{{InFlight: 3}, {Centre: "far"}}, 1},
		"a slow one after its samples have decayed": {[]route.Replica{{MeanTime: 500, Samples: 0.01}, fast(90)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			got, _ := route.LeastTime{}.Choose(c.replicas)
			is.New(t).Equal(got, c.want)
		})
	}
}
