package record

import (
	"context"
	"encoding/json"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// SweepInterval is how often an entry should call [Store.Sweep].
const SweepInterval = clock.Minute

// Intervals and limits of the sweep, which all entries share. One pass reads the
// whole table, in one or more turns.
const (
	// passInterval is the time between two complete passes over the table, and
	// turnInterval the time between two turns of an incomplete pass.
	passInterval = 10 * clock.Minute
	turnInterval = clock.Minute
	// maxTurnReads bounds the reads of one turn, and maxDeletesPerCommit the
	// rows deleted by one transaction.
	maxTurnReads        = 200
	maxDeletesPerCommit = 64
	// defaultRetention is 7 days.
	defaultRetention = 7 * 24 * 60 * clock.Minute
)

// sweepKey is the row that coordinates the sweep among entries. It is outside
// [Prefix].
const sweepKey = "sweep/once"

// sweepState is the progress of the sweep, stored in the table and shared by all
// entries.
type sweepState struct {
	// Due is the wall clock time at which the next turn may start.
	Due clock.Millis `json:"due"`
	// After is the last key that the current pass has read, and Count the
	// unknown outcomes it has found so far. Unknown is the count of the last
	// complete pass.
	After   string `json:"after,omitempty"`
	Count   int    `json:"count"`
	Unknown int    `json:"unknown"`
}

// Sweep runs one turn of the sweep, if one is due and no other entry runs it. A
// turn deletes rows whose retention has passed and counts unknown outcomes.
// Sweep returns the number of deleted rows. Open and unknown orders are never
// deleted before an operator settles them.
//
// A row makes a delayed insert for the same order fail. The retention must
// therefore be much longer than a write to the platform can be delayed.
func (s *Store) Sweep(ctx context.Context) (n int, err error) {
	state, revision, err := s.readSweepState(ctx)
	if err != nil {
		return 0, err
	}
	s.unknown.Store(int64(state.Unknown))
	now := s.Clock.Wall()
	if now < state.Due {
		return 0, nil
	}
	// Claim the turn by a conditional write first, so that no other entry runs
	// it too.
	state.Due = now + turnInterval
	if revision, err = s.writeSweepState(ctx, state, revision); err != nil || revision == 0 {
		return 0, err
	}
	n, err = s.sweepTurn(ctx, &state, now)
	s.Meter.Add("orders_expired_total", n)
	s.unknown.Store(int64(state.Unknown))
	if _, setErr := s.writeSweepState(ctx, state, revision); err == nil {
		err = setErr
	}
	return n, err
}

// Unknown returns the number of orders with an unknown outcome, as counted by
// the last complete pass over the table.
func (s *Store) Unknown() int { return int(s.unknown.Load()) }

// readSweepState reads the shared state and its revision, which is zero before
// the first sweep.
func (s *Store) readSweepState(ctx context.Context) (state sweepState, revision int64, err error) {
	rows, err := s.Table.Read(ctx, sweepKey)
	if err != nil || len(rows) == 0 {
		return state, 0, err
	}
	if err := json.Unmarshal(rows[0].Value, &state); err != nil {
		return state, 0, codes.Wrap(codes.Internal, err, "row %s", sweepKey)
	}
	return state, rows[0].Revision, nil
}

// writeSweepState writes the shared state and returns its new revision; zero
// means that another entry changed it first.
func (s *Store) writeSweepState(ctx context.Context, state sweepState, expect int64) (revision int64, err error) {
	// Encoding the state cannot fail: it holds only strings and numbers.
	value, _ := json.Marshal(state)
	done, err := s.Table.Commit(ctx, core.Write{Key: sweepKey, Value: value, Expect: expect})
	if err != nil || !done.OK() {
		return 0, err
	}
	return done.Revisions[0], nil
}

// sweepTurn continues the current pass for one turn, up to maxTurnReads reads.
func (s *Store) sweepTurn(ctx context.Context, state *sweepState, now clock.Millis) (n int, err error) {
	for range maxTurnReads {
		rows, err := s.Table.List(ctx, Prefix, state.After, rowsPerRead)
		if err != nil {
			return n, err
		}
		n += s.deleteExpired(ctx, rows, state, now)
		if len(rows) < rowsPerRead {
			state.After, state.Unknown, state.Count = "", state.Count, 0
			state.Due = now + passInterval
			return n, nil
		}
		state.After = rows[len(rows)-1].Key
	}
	return n, nil
}

// deleteExpired counts the unknown orders in rows and deletes those whose
// retention has passed.
func (s *Store) deleteExpired(ctx context.Context, rows []core.Row, state *sweepState, now clock.Millis) (n int) {
	var writes []core.Write
	for _, row := range rows {
		r, err := Decode(row)
		if err != nil {
			s.Meter.Add("orders_bad_rows_total", 1)
			continue
		}
		switch {
		case r.StateAt(now) == Unknown:
			state.Count++
		case r.State != Open && r.Ended+s.retention() <= now:
			writes = append(writes, core.Write{Key: row.Key, Expect: row.Revision, Delete: true})
		}
	}
	for len(writes) > 0 {
		part := writes[:min(len(writes), maxDeletesPerCommit)]
		writes = writes[len(part):]
		// A concurrent change to one of these rows makes the transaction fail;
		// the next pass retries it.
		done, err := s.Table.Commit(ctx, part...)
		if err != nil {
			return n
		}
		if done.OK() {
			n += len(part)
		}
	}
	return n
}

// retention returns Retention or its default.
func (s *Store) retention() clock.Millis {
	if s.Retention == 0 {
		return defaultRetention
	}
	return s.Retention
}
