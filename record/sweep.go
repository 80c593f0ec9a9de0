package record

import (
	"context"
	"encoding/json"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// SweepEvery is how often an entry should call [Ledger.Sweep].
const SweepEvery = clock.Minute

// Bounds of the sweeps over all entries.
const (
	// passEvery is the time between two passes over the table, and
	// turnEvery that between two turns of a pass that is not through.
	passEvery = 10 * clock.Minute
	turnEvery = clock.Minute
	// turnScans bounds the reads of one turn, and maxDeletes the rows that
	// one transaction deletes.
	turnScans  = 200
	maxDeletes = 64
	// defaultRetention is 7 days.
	defaultRetention = 7 * 24 * 60 * clock.Minute
)

// sweepKey is the row by which the entries take turns. It lies outside of
// [Prefix].
const sweepKey = "sweep/once"

// turn is the state of the sweeps over all entries.
type turn struct {
	// Due is the wall clock time from which the next turn may be taken.
	Due clock.Millis `json:"due"`
	// After is the place that the present pass has come to, and Count the
	// unknown outcomes it has seen. Unknown is the count of the last pass.
	After   string `json:"after,omitempty"`
	Count   int    `json:"count"`
	Unknown int    `json:"unknown"`
}

// Sweep takes this entry's turn, if one is due, to delete the rows whose
// retention has passed and to count the unknown outcomes. It returns the rows
// that it deleted. Open and unknown orders are never deleted before an
// operator settles them.
//
// An insert that is under way lands in vain as long as its order's row
// stands, so that the retention must be far over the time that a write of the
// platform may be under way.
func (l *Ledger) Sweep(ctx context.Context) (n int, err error) {
	t, revision, err := l.turn(ctx)
	if err != nil {
		return 0, err
	}
	l.unknown.Store(int64(t.Unknown))
	now := l.Clock.Wall()
	if now < t.Due {
		return 0, nil
	}
	// The turn is taken before the work, so that entries don't do it twice.
	t.Due = now + turnEvery
	if revision, err = l.setTurn(ctx, t, revision); err != nil || revision == 0 {
		return 0, err
	}
	n, err = l.pass(ctx, &t, now)
	l.Meter.Add("orders_expired_total", n)
	l.unknown.Store(int64(t.Unknown))
	if _, setErr := l.setTurn(ctx, t, revision); err == nil {
		err = setErr
	}
	return n, err
}

// Unknown counts the orders whose outcome is unknown, as the last pass over
// the table found them.
func (l *Ledger) Unknown() int { return int(l.unknown.Load()) }

func (l *Ledger) turn(ctx context.Context) (t turn, revision int64, err error) {
	rows, err := l.Table.Read(ctx, sweepKey)
	if err != nil || len(rows) == 0 {
		return t, 0, err
	}
	if err := json.Unmarshal(rows[0].Value, &t); err != nil {
		return t, 0, codes.Wrap(codes.Internal, err, "row %s", sweepKey)
	}
	return t, rows[0].Revision, nil
}

// setTurn writes the turn and returns its new revision; zero means that
// another entry was faster.
func (l *Ledger) setTurn(ctx context.Context, t turn, expect int64) (revision int64, err error) {
	// A turn of strings and numbers always encodes.
	value, _ := json.Marshal(t)
	done, err := l.Table.Commit(ctx, core.Write{Key: sweepKey, Value: value, Expect: expect})
	if err != nil || !done.OK() {
		return 0, err
	}
	return done.Revisions[0], nil
}

// pass goes on with the pass over the table for one turn.
func (l *Ledger) pass(ctx context.Context, t *turn, now clock.Millis) (n int, err error) {
	for range turnScans {
		rows, err := l.Table.List(ctx, Prefix, t.After, scanRows)
		if err != nil {
			return n, err
		}
		n += l.expire(ctx, rows, t, now)
		if len(rows) < scanRows {
			t.After, t.Unknown, t.Count = "", t.Count, 0
			t.Due = now + passEvery
			return n, nil
		}
		t.After = rows[len(rows)-1].Key
	}
	return n, nil
}

// expire counts the unknown orders among rows, and deletes those that ended
// before their retention.
func (l *Ledger) expire(ctx context.Context, rows []core.Row, t *turn, now clock.Millis) (n int) {
	var writes []core.Write
	for _, row := range rows {
		r, err := Decode(row)
		if err != nil {
			l.Meter.Add("orders_bad_rows_total", 1)
			continue
		}
		switch {
		case r.At(now) == Unknown:
			t.Count++
		case r.State != Open && r.Ended+l.retention() <= now:
			writes = append(writes, core.Write{Key: row.Key, Expect: row.Revision, Delete: true})
		}
	}
	for len(writes) > 0 {
		part := writes[:min(len(writes), maxDeletes)]
		writes = writes[len(part):]
		// A row that was changed beside makes this part fail; the next pass
		// looks at it again.
		done, err := l.Table.Commit(ctx, part...)
		if err != nil {
			return n
		}
		if done.OK() {
			n += len(part)
		}
	}
	return n
}

func (l *Ledger) retention() clock.Millis {
	if l.Retention == 0 {
		return defaultRetention
	}
	return l.Retention
}
