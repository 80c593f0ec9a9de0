package idem

import (
	"context"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/batch"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/record"
)

// prepare copies the exported fields to batch and records. It takes effect once,
// on first use.
func (ex *Executor) prepare() {
	ex.prepared.Do(func() {
		ex.batch.Table = ex.Table
		ex.batch.Clock = ex.Clock
		ex.batch.Meter = ex.Meter
		ex.batch.MaxRows = ex.MaxRows
		ex.batch.Draw = ex.Draw
		ex.batch.Go = ex.tasks.Go
		ex.batch.Context = ex.tasks.Context
		ex.records.Table = ex.Table
		ex.records.Writer = &ex.batch
		ex.records.Clock = ex.Clock
		ex.records.Meter = ex.Meter
		ex.records.Retention = ex.Retention
	})
}

// write makes one conditional write, batched with concurrent ones.
func (ex *Executor) write(ctx context.Context, r *record.Record, expect int64) batch.Outcome {
	ex.prepare()
	return ex.batch.Write(ctx, core.Write{Key: r.RowKey(), Value: r.Encode(), Expect: expect})
}

// writeClaim is write for a claim.
func (ex *Executor) writeClaim(ctx context.Context, r *record.Record, expect int64) batch.Outcome {
	ex.prepare()
	return ex.batch.WriteClaim(ctx, core.Write{Key: r.RowKey(), Value: r.Encode(), Expect: expect})
}

// List calls [record.Store.List].
func (ex *Executor) List(ctx context.Context, state record.State, after string, limit int) (record.Page, error) {
	ex.prepare()
	return ex.records.List(ctx, state, after, limit)
}

// Settle calls [record.Store.Settle].
func (ex *Executor) Settle(ctx context.Context, id string, outcome record.State, by string) (record.Record, error) {
	ex.prepare()
	return ex.records.Settle(ctx, id, outcome, by)
}

// Sweep calls [record.Store.Sweep].
func (ex *Executor) Sweep(ctx context.Context) (deleted int, err error) {
	ex.prepare()
	return ex.records.Sweep(ctx)
}

// Unknown returns the number of orders with an unknown outcome, as counted by
// the last complete pass over the table.
func (ex *Executor) Unknown() int { return ex.records.Unknown() }

// limit returns Limit or its default.
func (ex *Executor) limit() int {
	if ex.Limit == 0 {
		return defaultLimit
	}
	return ex.Limit
}

// limitBytes returns LimitBytes or its default.
func (ex *Executor) limitBytes() int64 {
	if ex.LimitBytes == 0 {
		return defaultLimitBytes
	}
	return ex.LimitBytes
}

// log returns Log, or a logger that discards everything.
func (ex *Executor) log() *zap.Logger {
	if ex.Log == nil {
		return zap.NewNop()
	}
	return ex.Log
}

// Bounds of the backoff between two tries of the same write.
const (
	minBackoff = 20 * clock.Millis(1)
	maxBackoff = 1 * clock.Second
)

// backoff waits before retry n of a write.
func (ex *Executor) backoff(ctx context.Context, n int) error {
	return ex.Clock.Backoff(ctx, clock.Backoff{Initial: minBackoff, Max: maxBackoff, Draw: ex.Draw}, n)
}
