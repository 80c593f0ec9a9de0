package route_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/route"
	"lacewinghook.example/lacewinghook/zones"
)

// TestFreeSlotGate guards against calls that go to the side against the gate's decision.
func TestFreeSlotGate(t *testing.T) {
	for waited, want := range map[float64]int{0: 0, route.RemoteReplicaCost: 1} {
		f := route.FreeSlot{Gate: &zones.Gate{}, Trip: route.Trip{Target: 500, Waited: waited}}
		got, _ := f.Choose([]route.Replica{{Slots: 6, InFlight: 5}, {Slots: 6, Centre: "far"}})
		is.New(t).Equal(got, want)
	}
}

// TestFreeSlot checks which replica of those with slots is selected, and when a call waits.
func TestFreeSlot(t *testing.T) {
	with := func(inFlight int, mean float64) route.Replica {
		return route.Replica{MeanTime: mean, Samples: 50, InFlight: inFlight, Slots: 6}
	}
	change := func(r route.Replica, f func(*route.Replica)) route.Replica { f(&r); return r }
	full := func(r *route.Replica) { r.Full = true }
	far := func(r *route.Replica) { r.Centre = "far" }
	for name, c := range map[string]struct {
		replicas []route.Replica
		wait     float64
		want     int
	}{
		"none":                             {nil, 0, -1},
		"fewer calls in flight":            {[]route.Replica{with(3, 60), with(2, 60)}, 0, 1},
		"a slow idle one":                  {[]route.Replica{with(5, 60), with(0, 150)}, 0, 0},
		"one call beyond the slots":        {[]route.Replica{with(6, 60)}, 0, 0},
		"no room":                          {[]route.Replica{with(7, 60)}, 0, -1},
		"no room at the fast one":          {[]route.Replica{with(7, 60), with(0, 150)}, 0, -1},
		"the same with many that wait":     {[]route.Replica{with(7, 60), with(0, 150)}, 50, 1},
		"one that refused a call":          {[]route.Replica{change(with(0, 60), full), with(6, 60)}, 0, 1},
		"one that fails all calls at once": {[]route.Replica{change(with(0, 60), func(r *route.Replica) { r.Failures = 1 }), with(6, 60)}, 0, 1},
		"another data centre":              {[]route.Replica{change(with(1, 60), far), with(2, 60)}, 0, 1},
		"another data centre, less busy":   {[]route.Replica{change(with(1, 60), far), with(4, 60)}, 0, 0},
		"an excluded one is no way out":    {[]route.Replica{change(with(0, 60), func(r *route.Replica) { r.Excluded = true }), with(7, 60)}, 99, -1},
	} {
		t.Run(name, func(t *testing.T) {
			got, _ := route.FreeSlot{Wait: c.wait}.Choose(c.replicas)
			is.New(t).Equal(got, c.want)
		})
	}
}
