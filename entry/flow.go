package entry

import (
	"context"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/flow"
	"lacewinghook.example/lacewinghook/pool"
)

// newFlow returns the component that runs completion requests.
func (e *Entry) newFlow() *flow.Flow {
	return &flow.Flow{
		Engines: gatedEngines{&e.engines, &e.gate}, Placer: e.newScheduler(), Cancels: &e.cancels,
		Upstreams: publishedUpstreams{&e.pool}, Quarantine: &e.quarantine,
		Budget: &e.retryBudget, Stragglers: stragglers{e},
		Clock: e.Clock, Meter: &e.meter,
	}
}

// prepareFlow sets up the engine client and the queue of cancels, which are
// sent to engines after their request has ended.
func (e *Entry) prepareFlow() {
	e.engines.Owner = e.owner
	e.engines.Meter = &e.meter
	e.cancels.Engines = &e.engines
	e.cancels.Upstreams = publishedUpstreams{&e.pool}
	e.cancels.Clock = e.Clock
	e.cancels.Meter = &e.meter
	e.meter.Gauge("cancels_unconfirmed", func() float64 {
		n, _ := e.cancels.Pending()
		return float64(n)
	})
	e.meter.Gauge("cancels_oldest_ms", func() float64 {
		_, oldest := e.cancels.Pending()
		return float64(oldest)
	})
}

// publishedUpstreams looks up the upstreams of the active document.
type publishedUpstreams struct {
	pool *pool.Table
}

// Published implements [abort.Upstreams].
func (p publishedUpstreams) Published(name string) bool {
	_, ok := p.pool.Get(name)
	return ok
}

// Names implements [sweep.Upstreams].
func (p publishedUpstreams) Names() []string { return p.pool.Names() }

// Upstream implements [flow.Upstreams].
func (p publishedUpstreams) Upstream(name string) (core.Upstream, bool) {
	s, ok := p.pool.Get(name)
	return s.Upstream, ok
}

// cancelTimeout limits how long a stopping entry waits for engines to confirm
// cancels. Another entry sweeps the requests that remain.
const cancelTimeout = 10 * clock.Second

// waitForCancels waits until every cancel is confirmed, for at most
// cancelTimeout.
func (e *Entry) waitForCancels(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout.Duration())
	defer cancel()
	if e.cancels.Wait(ctx) != nil {
		n, _ := e.cancels.Pending()
		e.Log.Warn("entry: stopped with unconfirmed cancels", zap.Int("count", n))
	}
}

// Kill simulates a crash of the process, for trials: it closes all connections
// and cancels nothing at the engines. Run returns shortly afterwards.
func (e *Entry) Kill() {
	e.cancels.Close()
	e.killOnce.Do(func() { close(e.killed()) })
}

// killed returns the channel that Kill closes.
func (e *Entry) killed() chan struct{} {
	e.killedInit.Do(func() { e.killedChan = make(chan struct{}) })
	return e.killedChan
}
