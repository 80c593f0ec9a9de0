package entry

import (
	"context"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/plain"
	"lacewinghook.example/lacewinghook/record"
)

// orderCloseTimeout limits how long a stopping entry waits until the platform
// has stored the outcomes of its orders.
const orderCloseTimeout = 30 * clock.Second

// newPlainCaller returns the component that calls plain services. Calls that
// must not be repeated go through the executor of orders.
func (e *Entry) newPlainCaller() *plain.Caller {
	caller := &plain.Caller{
		Services: gatedEngines{&e.engines, &e.gate}, Replicas: &e.pool, Orders: &e.orders,
		Clock: e.Clock, Meter: &e.meter,
	}
	e.orders.Table = &e.store
	e.orders.Objects = &e.store
	e.orders.Sender = caller
	e.orders.Clock = e.Clock
	e.orders.Meter = &e.meter
	e.orders.Log = e.Log
	e.orders.Owner = e.owner
	e.meter.Gauge("orders_pending", func() float64 { return float64(e.orders.Pending()) })
	e.meter.Gauge("orders_unkept", func() float64 { return float64(e.orders.Unsaved()) })
	e.meter.Gauge("orders_unknown", func() float64 { return float64(e.orders.Unknown()) })
	return caller
}

// sweepOrders deletes the idempotency records of orders that ended long ago.
func (e *Entry) sweepOrders(ctx context.Context) {
	n, err := e.orders.Sweep(ctx)
	if err != nil {
		e.Log.Warn("entry: deleting old orders failed", zap.Error(err))
		return
	}
	if n > 0 {
		e.Log.Info("entry: deleted old orders", zap.Int("orders", n))
	}
}

// orderSweepInterval is the time between two calls of sweepOrders.
const orderSweepInterval = record.SweepInterval

// closeOrders waits until the outcomes of all orders are stored, for at most
// orderCloseTimeout.
func (e *Entry) closeOrders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, orderCloseTimeout.Duration())
	defer cancel()
	if err := e.orders.Close(ctx); err != nil {
		e.Log.Warn("entry: stopped with unsaved order outcomes", zap.Error(err))
	}
}
