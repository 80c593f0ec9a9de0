package quota

import (
	"math"

	"lacewinghook.example/lacewinghook/clock"
)

// Lease is tokens that an entry may use until an instant.
type Lease struct {
	Tokens float64
	Until  clock.Millis
}

// Take takes the tokens of a request and reports whether there are enough.
func (l *Lease) Take(cost float64, now clock.Millis) bool {
	if now >= l.Until || l.Tokens < cost {
		return false
	}
	l.Tokens -= cost
	return true
}

// Demand estimates what a workspace uses at this entry, from its recent requests.
type Demand struct {
	// perSecond is the estimate at the instant at, and cost the mean of a request.
	perSecond, cost float64
	at              clock.Millis
}

// demandTime is the time over which requests are averaged: long enough for a rate of a few
// requests each second, and short against the changes of load that matter.
const demandTime = 1 * clock.Second

// costWeight is the weight of a request in the mean cost.
const costWeight = 0.2

// Add counts a request.
func (d *Demand) Add(cost float64, now clock.Millis) {
	d.perSecond = d.perSecond*math.Exp(-seconds(now-d.at)/seconds(demandTime)) + cost/seconds(demandTime)
	d.at = now
	d.cost += costWeight * (cost - d.cost)
}

// Expected returns what the requests within a time are expected to cost, or nothing for less
// than two requests: tokens that are leased and then returned cost a message, as asking
// for a request does.
func (d *Demand) Expected(within clock.Millis) float64 {
	n := d.perSecond * seconds(within)
	if n < 2*d.cost {
		return 0
	}
	return math.Floor(n)
}
