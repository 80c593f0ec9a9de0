package zones

import (
	"math"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/route"
	"lacewinghook.example/lacewinghook/shard"
)

// Gate decides for each call whether it may leave its zone. It implements [route.Gate]. The
// zero value is ready to use.
type Gate struct {
	// Price is the price of leaving a zone, in milliseconds; zero means
	// [route.RemoteReplicaCost].
	Price clock.Millis
	// Meter, if not nil, gets a gauge of each share, which Clock dates.
	Meter *meter.Registry
	Clock clock.Clock

	flows shard.Map[flowKey, *flow]
}

// Times of the steps.
const (
	// interval is the least time between two steps of a share.
	interval clock.Millis = 100
	// idleAfter is the time without calls after which a share falls by maxStep in each
	// interval: nothing is known of the zone then.
	idleAfter = 1 * clock.Second
)

// Sizes of the steps.
const (
	// maxStep is the largest step. In the 500 ms that state may be old, a share changes by
	// 0.1 at most.
	maxStep = 0.02
	// deadBand is the part of the price by which the predicted gain from leaving must differ
	// from the price before the share changes.
	deadBand = 0.25
	// gain is the step for a predicted gain of twice the price. A queue adds up what the share
	// lets in, so that a fixed step oscillates on old state: with steps of 0.02 the share of
	// a simulated zone swung by 0.46, and with a gain of 0.0008 by 0.06.
	gain = 0.0004
	// smoothing is the weight of an interval in the slow mean, which is 1 s behind, and
	// horizon how many times its distance to the newest mean is added to that, to predict the
	// gain 2.5 s ahead.
	smoothing, horizon = 0.1, 2.5
	// evenStep is the least step down while the slow mean is below the evenPart of the price,
	// so that a share returns to zero within 10 s once it is. A part of 0.25 was also reached
	// in steady load, and the share then swung by up to 0.24.
	evenStep, evenPart = 0.01, 0.05
)

// flowKey identifies the calls to a service that come from one zone.
type flowKey struct {
	service, origin string
}

// flow is the state of the calls of one key.
type flow struct {
	mu sync.Mutex
	// share is the share of calls that may leave.
	share float64
	// slow is the slow mean of what a call would gain by leaving, in milliseconds.
	slow float64
	// since is the start of the current interval, sum what the calls observed in it would
	// gain, and calls their number.
	since clock.Millis
	sum   float64
	calls int
}

// Leaves reports whether a call leaves its zone.
func (g *Gate) Leaves(t route.Trip) bool {
	if math.IsInf(t.Inside, 1) {
		return !math.IsInf(t.Outside, 1)
	}
	price := g.price()
	share := g.flow(t.Service, t.Origin).observe(t, price)
	switch {
	case t.Outside > t.Inside:
		return false
	case t.Draw < share:
		// Also at equal times: otherwise all calls would come back at once when the zone's
		// queue is seen empty, and fill it again while the state is old.
		return true
	}
	return t.Outside < t.Inside && (t.Waited >= price || t.Inside > t.Target && t.Outside+price <= t.Target)
}

// Share returns the share of the calls from a zone to a service that may leave.
func (g *Gate) Share(service, origin string, now clock.Millis) float64 {
	f, ok := g.flows.Get(flowKey{service, origin})
	if !ok {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now, g.price())
	return f.share
}

// price returns the price of leaving a zone in milliseconds.
func (g *Gate) price() float64 {
	if g.Price == 0 {
		return route.RemoteReplicaCost
	}
	return float64(g.Price)
}

// flow returns the state of the calls from a zone to a service.
func (g *Gate) flow(service, origin string) *flow {
	k := flowKey{service, origin}
	if f, ok := g.flows.Get(k); ok {
		return f
	}
	f := g.flows.Ensure(k, func() *flow { return &flow{} })
	g.Meter.Gauge("zones_share", func() float64 { return g.Share(service, origin, g.Clock.Now()) }, "service", service, "zone", origin)
	return f
}

// observe records a call and returns the share in force.
func (f *flow) observe(t route.Trip, price float64) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(t.Now, price)
	// A call that waits is tried many times, and counts when it arrives. Nothing is gained by
	// leaving if no replica outside has room.
	if t.Waited == 0 {
		if !math.IsInf(t.Outside, 1) {
			f.sum += t.Inside - t.Outside
		}
		f.calls++
	}
	return f.share
}

// advance changes the share if an interval has passed. The caller holds f.mu.
func (f *flow) advance(now clock.Millis, price float64) {
	elapsed := now - f.since
	if elapsed < interval || f.calls == 0 && elapsed < idleAfter {
		return
	}
	f.since = now
	if f.calls == 0 {
		f.since -= idleAfter
	} else {
		f.step(f.sum/float64(f.calls), price)
		f.sum, f.calls = 0, 0
	}
	if elapsed > idleAfter {
		f.share = max(0, f.share-maxStep*float64(elapsed-idleAfter)/float64(interval))
	}
}

// step changes the share after an interval in which calls would have gained mean by leaving.
func (f *flow) step(mean, price float64) {
	off := (mean+(mean-f.slow)*horizon)/price - 1
	f.slow += (mean - f.slow) * smoothing
	change := 0.0
	if math.Abs(off) > deadBand {
		change = max(-maxStep, min(maxStep, gain*off))
	}
	if f.slow < evenPart*price && off < 0 {
		change = min(change, -evenStep)
	}
	f.share = max(0, min(1, f.share+change))
}
