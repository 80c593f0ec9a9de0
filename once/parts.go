package once

import (
	"context"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/batch"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/record"
)

// prepare connects the book's parts at its first use.
func (b *Book) prepare() {
	b.once.Do(func() {
		b.batch.Table = b.Table
		b.batch.Clock = b.Clock
		b.batch.Meter = b.Meter
		b.batch.Rows = b.Rows
		b.batch.Draw = b.Draw
		b.batch.Spawn = b.tasks.Go
		b.batch.Context = b.tasks.Context
		b.ledger.Table = b.Table
		b.ledger.Writer = &b.batch
		b.ledger.Clock = b.Clock
		b.ledger.Meter = b.Meter
		b.ledger.Retention = b.Retention
	})
}

// write makes one conditional write together with others.
func (b *Book) write(ctx context.Context, r *record.Record, expect int64) batch.Outcome {
	b.prepare()
	return b.batch.Write(ctx, core.Write{Key: r.RowKey(), Value: r.Encode(), Expect: expect})
}

// List is [record.Ledger.List].
func (b *Book) List(ctx context.Context, state record.State, after string, limit int) (record.Page, error) {
	b.prepare()
	return b.ledger.List(ctx, state, after, limit)
}

// Settle is [record.Ledger.Settle].
func (b *Book) Settle(ctx context.Context, id string, outcome record.State, by string) (record.Record, error) {
	b.prepare()
	return b.ledger.Settle(ctx, id, outcome, by)
}

// Sweep is [record.Ledger.Sweep].
func (b *Book) Sweep(ctx context.Context) (deleted int, err error) {
	b.prepare()
	return b.ledger.Sweep(ctx)
}

// Unknown counts the orders whose outcome is unknown, as the last pass over
// the table found them.
func (b *Book) Unknown() int { return b.ledger.Unknown() }

func (b *Book) limit() int {
	if b.Limit == 0 {
		return defaultLimit
	}
	return b.Limit
}

func (b *Book) limitBytes() int64 {
	if b.LimitBytes == 0 {
		return defaultLimitBytes
	}
	return b.LimitBytes
}

func (b *Book) log() *zap.Logger {
	if b.Log == nil {
		return zap.NewNop()
	}
	return b.Log
}

// Pauses between two tries of the same write.
const (
	firstPause = 20 * clock.Millis(1)
	lastPause  = 1 * clock.Second
)

// pause waits before the n-th new try of a write.
func (b *Book) pause(ctx context.Context, n int) error {
	return b.Clock.Pause(ctx, clock.Backoff{First: firstPause, Last: lastPause, Draw: b.Draw}, n)
}
