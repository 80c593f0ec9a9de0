package zones_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/route"
	"lacewinghook.example/lacewinghook/zones"
)

// plain compares predicted times without a share.
type plain struct{}

func (plain) Leaves(t route.Trip) bool { return t.Inside-t.Outside > route.RemoteReplicaCost }

// simulate returns, for each 500 ms, the share of calls that leave the first of four zones and
// its wait in ms. 63 entries see the state of 500 ms ago. Each zone gets half of the calls
// that it serves, the first 1.5 times as many for 60 s.
func simulate(newGate func() route.Gate) (shares, waits []float64) {
	const entries, tick, age, draws = 63, 10, 50, 8
	var queues [4]float64
	var seen [age][4]float64
	gates := make([]route.Gate, entries)
	for i := range gates {
		gates[i] = newGate()
	}
	left := 0.0
	for n := range 9000 {
		old, load := seen[n%age], [4]float64{0.5, 0.5, 0.5, 0.5}
		if n < 6000 {
			load[0] = 1.5
		}
		for i := range entries * draws {
			home := i % entries % 4
			calls := load[home] * 4 / entries / draws
			outside := (old[0] + old[1] + old[2] + old[3] - old[home]) / 3
			if !gates[i%entries].Leaves(route.Trip{
				Now: clock.Millis(100_000 + n*tick + i%entries), Inside: 60 + tick*old[home], Outside: 60 + tick*outside,
				Draw: (float64(i/entries) + rand.Float64()) / draws,
			}) {
				queues[home] += calls
				continue
			}
			for z := range queues {
				queues[z] += calls / 3
			}
			queues[home] -= calls / 3
			if home == 0 {
				left += calls / load[0] / age
			}
		}
		for z := range queues {
			queues[z] = max(0, queues[z]-1)
			seen[n%age][z] = queues[z]
		}
		if n%age == age-1 {
			shares, waits = append(shares, left), append(waits, tick*queues[0])
			left = 0
		}
	}
	return shares, waits
}

// swing returns the difference between the greatest and the least value.
func swing(v []float64) float64 { return slices.Max(v) - slices.Min(v) }

// TestOldState guards against entries that all send their calls out, and back again, because
// each decides on the same old state. In steady load the share may move by what it changes
// while the state is old, which keeps waits within that part of the calls in 500 ms.
func TestOldState(t *testing.T) {
	is := is.New(t)
	shares, _ := simulate(func() route.Gate { return plain{} })
	is.True(swing(shares[60:120]) > 0.8)
	shares, waits := simulate(func() route.Gate { return &zones.Gate{} })
	is.True(swing(shares[60:120]) <= 0.1)
	is.True(slices.Max(waits[60:120]) <= 0.1*1.5*500)
	// The slow mean takes 5 s from 100 ms to a twentieth of the price, and the share then 10 s.
	is.Equal(slices.Max(shares[120+30:]), 0.0)
}

// TestLeaves checks the decisions that don't depend on a share, which is zero here. It guards
// against calls that miss their targets, or fail, next to zones with room.
func TestLeaves(t *testing.T) {
	none := math.Inf(1)
	for name, c := range map[string]struct {
		trip route.Trip
		want bool
	}{
		"a gain":                        {route.Trip{Inside: 100, Outside: 50, Target: 150}, false},
		"target missed inside":          {route.Trip{Inside: 160, Outside: 135, Target: 150}, true},
		"target missed on both sides":   {route.Trip{Inside: 160, Outside: 136, Target: 150}, false},
		"waited for the price":          {route.Trip{Inside: 100, Outside: 50, Target: 150, Waited: 15}, true},
		"outside slower after the wait": {route.Trip{Inside: 40, Outside: 50, Target: 45, Waited: 15}, false},
		"nothing usable inside":         {route.Trip{Inside: none, Outside: 500}, true},
		"no room outside":               {route.Trip{Inside: 160, Outside: none, Target: 150, Waited: 15}, false},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(new(zones.Gate).Leaves(c.trip), c.want) })
	}
}
