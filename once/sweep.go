package once

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// SweepEvery is how often an entry should call [Book.Sweep].
const SweepEvery = 10 * clock.Minute

// maxSweepScans bounds one sweep; the next one goes on behind it.
const maxSweepScans = 40

// Sweep deletes the rows whose retention has passed, and returns how many.
// Open and unknown orders are never deleted before an operator settles them.
// A late write of an order lands in vain as long as its row stands, so that
// the retention must be far over the time that a write may be under way.
func (b *Book) Sweep(ctx context.Context) (n int, err error) {
	retention := b.Retention
	if retention == 0 {
		retention = defaultRetention
	}
	before := b.Clock.Wall() - retention
	for range maxSweepScans {
		rows, err := b.Table.List(ctx, Prefix, b.sweepAfter(), scanRows)
		if err != nil {
			return n, err
		}
		n += b.expire(ctx, rows, before)
		if len(rows) < scanRows {
			b.setSweepAfter("")
			return n, nil
		}
		b.setSweepAfter(rows[len(rows)-1].Key)
	}
	return n, nil
}

// expire deletes those rows that ended before the instant.
func (b *Book) expire(ctx context.Context, rows []core.Row, before clock.Millis) (n int) {
	var writes []core.Write
	for _, row := range rows {
		r, err := decode(row)
		if err != nil || r.Ended == 0 || r.Ended >= before || r.State == Open || r.State == Unknown {
			continue
		}
		writes = append(writes, core.Write{Key: row.Key, Expect: row.Revision, Delete: true})
	}
	for len(writes) > 0 {
		part := writes[:min(len(writes), maxBatchRows)]
		writes = writes[len(part):]
		// A row that another entry deleted makes this part fail; the next
		// sweep looks at it again.
		done, err := b.Table.Commit(ctx, part...)
		if err != nil {
			return n
		}
		if done.OK() {
			n += len(part)
		}
	}
	b.Meter.Add("once_expired_rows_total", n)
	return n
}

func (b *Book) sweepAfter() string {
	b.sweep.mu.Lock()
	defer b.sweep.mu.Unlock()
	return b.sweep.after
}

func (b *Book) setSweepAfter(key string) {
	b.sweep.mu.Lock()
	defer b.sweep.mu.Unlock()
	b.sweep.after = key
}
