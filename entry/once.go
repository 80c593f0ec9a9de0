package entry

import (
	"context"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/plain"
	"lacewinghook.example/lacewinghook/record"
)

// closeWait bounds how long a stopping entry waits for the platform to take
// the outcomes of its orders.
const closeWait = 30 * clock.Second

// plain connects the calls of plain services with the book of orders.
func (e *Entry) plain() *plain.Caller {
	p := &plain.Caller{
		Services: guarded{&e.engines, &e.gate}, Replicas: &e.pool, Orders: &e.orders,
		Clock: e.Clock, Meter: &e.meter,
	}
	e.orders.Table = &e.store
	e.orders.Objects = &e.store
	e.orders.Sender = p
	e.orders.Clock = e.Clock
	e.orders.Meter = &e.meter
	e.orders.Log = e.Log
	e.orders.Owner = e.owner
	e.meter.Gauge("orders_pending", func() float64 { return float64(e.orders.Pending()) })
	e.meter.Gauge("orders_unkept", func() float64 { return float64(e.orders.Unsaved()) })
	e.meter.Gauge("orders_unknown", func() float64 { return float64(e.orders.Unknown()) })
	return p
}

// sweepOrders deletes the rows of orders that ended long ago.
func (e *Entry) sweepOrders(ctx context.Context) {
	n, err := e.orders.Sweep(ctx)
	if err != nil {
		e.Log.Warn("entry: old orders can't be deleted", zap.Error(err))
		return
	}
	if n > 0 {
		e.Log.Info("entry: old orders were deleted", zap.Int("orders", n))
	}
}

// sweepEvery is how often this entry sweeps.
const sweepEvery = record.SweepInterval

// closeOrders waits until the outcomes of all orders are kept.
func (e *Entry) closeOrders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeWait.Std())
	defer cancel()
	if err := e.orders.Close(ctx); err != nil {
		e.Log.Warn("entry: outcomes of orders were given up", zap.Error(err))
	}
}
