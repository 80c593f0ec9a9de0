package entry

import (
	"context"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/flow"
	"lacewinghook.example/lacewinghook/pool"
)

// newFlow puts together what carries out completions.
func (e *Entry) newFlow() *flow.Flow {
	return &flow.Flow{
		Engines: guarded{&e.engines, &e.gate}, Placer: e.placer(), Cancels: &e.cancels,
		Upstreams: published{&e.pool}, Suspects: &e.suspects,
		Budget: &e.budget, Stragglers: stragglers{e},
		Clock: e.Clock, Meter: &e.meter,
	}
}

// prepareFlow sets up what outlives a request: its cancels.
func (e *Entry) prepareFlow() {
	e.engines.Owner = e.owner
	e.engines.Meter = &e.meter
	e.cancels.Engines = &e.engines
	e.cancels.Upstreams = published{&e.pool}
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

// published knows the upstreams that the document in force names.
type published struct {
	pool *pool.Table
}

// Published implements [abort.Upstreams].
func (p published) Published(name string) bool {
	_, ok := p.pool.Get(name)
	return ok
}

// Names implements [sweep.Upstreams].
func (p published) Names() []string { return p.pool.Names() }

// Upstream implements [flow.Upstreams].
func (p published) Upstream(name string) (core.Upstream, bool) {
	s, ok := p.pool.Get(name)
	return s.Upstream, ok
}

// cancelWait bounds how long a stop waits for cancels that no engine has
// confirmed. What is left then is swept by another entry.
const cancelWait = 10 * clock.Second

// settleCancels waits until every cancel is confirmed, as far as cancelWait
// allows.
func (e *Entry) settleCancels(ctx context.Context) {
	ctx, done := context.WithTimeout(ctx, cancelWait.Std())
	defer done()
	if e.cancels.Wait(ctx) != nil {
		n, _ := e.cancels.Pending()
		e.Log.Warn("entry: stopped with unconfirmed cancels", zap.Int("count", n))
	}
}

// Kill ends the entry as the death of its process would: connections are cut,
// and nothing is cancelled at the engines. Trials use it. Run returns soon
// afterwards.
func (e *Entry) Kill() {
	e.cancels.Close()
	e.kill.Do(func() { close(e.killed()) })
}

// killed returns what Kill closes.
func (e *Entry) killed() chan struct{} {
	e.deathInit.Do(func() { e.death = make(chan struct{}) })
	return e.death
}
