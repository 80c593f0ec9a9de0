package record

import (
	"context"
	"sync/atomic"

	"lacewinghook.example/lacewinghook/batch"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
)

// Table is the part of the platform's table that a Store needs.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]core.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]core.Row, error)
	Commit(ctx context.Context, writes ...core.Write) (core.CommitResult, error)
}

// Writer makes conditional writes.
type Writer interface {
	Write(ctx context.Context, w core.Write) batch.Outcome
}

// Store lists, settles and expires the order records in the table. Table and
// Writer are required.
type Store struct {
	Table  Table
	Writer Writer
	Clock  clock.Clock
	Meter  *meter.Registry
	// Retention is how long a row is kept after the order has ended; zero means
	// 7 days. A call repeated after that runs again.
	Retention clock.Millis

	// unknown is the result of [Store.Unknown].
	unknown atomic.Int64
}

// Limits of one listing: rows per read, reads, and orders per page.
const (
	rowsPerRead = 500
	maxReads    = 20
	maxListed   = 1000
)

// Page is one page of a listing.
type Page struct {
	Orders []Record `json:"orders"`
	// Next is the value of after for the next page; empty on the last page. A
	// page may have few orders or none and still have a next one.
	Next string `json:"next,omitempty"`
}

// List returns up to limit orders in the given state, in key order. after is
// empty or the previous page's Next. An empty state lists all orders. An open
// order that has passed its Until is listed as [Unknown].
func (s *Store) List(ctx context.Context, state State, after string, limit int) (Page, error) {
	if limit <= 0 || limit > maxListed {
		limit = maxListed
	}
	var p Page
	for range maxReads {
		rows, err := s.Table.List(ctx, Prefix, after, rowsPerRead)
		if err != nil {
			return Page{}, err
		}
		for _, row := range rows {
			after = row.Key
			s.appendMatching(&p, row, state)
			if len(p.Orders) == limit {
				p.Next = after
				return p, nil
			}
		}
		if len(rows) < rowsPerRead {
			return p, nil
		}
	}
	p.Next = after
	return p, nil
}

// appendMatching appends the row's order to the page if it is in the given
// state. A row that cannot be decoded is counted and skipped.
func (s *Store) appendMatching(p *Page, row core.Row, state State) {
	r, err := Decode(row)
	if err != nil {
		s.Meter.Add("orders_bad_rows_total", 1)
		return
	}
	r.State = r.StateAt(s.Clock.Wall())
	r.Answer = nil
	if state == "" || r.State == state {
		p.Orders = append(p.Orders, *r)
	}
}

// maxSettleAttempts bounds the conditional writes of one [Store.Settle].
const maxSettleAttempts = 5

// Settle records an operator's decision, [SettledRan] or [SettledNotRun], on an
// order with an unknown outcome, and returns the updated order. It does not
// send the call again. Its errors are [codes.BadRequest] for another outcome,
// [codes.NotFound], [codes.AlreadySettled], [codes.InProgress] for an order in
// progress, [codes.Conflict] after too many concurrent changes, and
// [codes.PlatformDown].
func (s *Store) Settle(ctx context.Context, id string, outcome State, by string) (Record, error) {
	if outcome != SettledRan && outcome != SettledNotRun {
		return Record{}, codes.New(codes.BadRequest, "outcome: want %s or %s", SettledRan, SettledNotRun)
	}
	var last error
	for range maxSettleAttempts {
		r, revision, err := s.find(ctx, id)
		if err != nil {
			return Record{}, err
		}
		if r.State == outcome && r.SettledBy == by {
			return r, nil
		}
		if err := settleable(r, s.Clock.Wall()); err != nil {
			return r, err
		}
		r.State, r.Settled, r.SettledBy, r.Ended = outcome, outcome, by, s.Clock.Wall()
		out := s.Writer.Write(ctx, core.Write{Key: r.RowKey(), Value: r.Encode(), Expect: revision})
		if out.Revision != 0 {
			s.Meter.Add("orders_settled_total", 1, "outcome", string(outcome))
			return r, nil
		}
		last = out.Err
	}
	if last != nil {
		return Record{}, last
	}
	return Record{}, codes.New(codes.Conflict, "order %s: too many concurrent changes", id)
}

// settleable returns an error unless the outcome of the order is unknown.
func settleable(r Record, now clock.Millis) error {
	switch r.StateAt(now) {
	case Unknown:
		return nil
	case Open:
		return codes.New(codes.InProgress, "order %s", r.ID)
	}
	return codes.New(codes.AlreadySettled, "order %s is %s", r.ID, r.State)
}

// find reads one order and the revision of its row.
func (s *Store) find(ctx context.Context, id string) (Record, int64, error) {
	rows, err := s.Table.Read(ctx, Prefix+id)
	if err != nil {
		return Record{}, 0, err
	}
	if len(rows) == 0 {
		return Record{}, 0, codes.New(codes.NotFound, "order %s", id)
	}
	r, err := Decode(rows[0])
	if err != nil {
		return Record{}, 0, err
	}
	return *r, rows[0].Revision, nil
}
