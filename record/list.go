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

// Table is the part of the platform's table that a ledger needs.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]core.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]core.Row, error)
	Commit(ctx context.Context, writes ...core.Write) (core.Committed, error)
}

// Writer makes conditional writes.
type Writer interface {
	Write(ctx context.Context, w core.Write) batch.Outcome
}

// Ledger is the operators' side of the orders. Table and Writer are needed.
type Ledger struct {
	Table  Table
	Writer Writer
	Clock  clock.Clock
	Meter  *meter.Set
	// Retention is how long a row is kept after its end; zero is 7 days. A
	// caller that asks again later than that is served as a new one.
	Retention clock.Millis

	unknown atomic.Int64
}

// Bounds of one listing.
const (
	scanRows  = 500
	maxScans  = 20
	maxListed = 1000
)

// Page is a part of a listing.
type Page struct {
	Orders []Record `json:"orders"`
	// Next is where the next page begins; empty after the last one. A page
	// may have few orders or none and still have a next one.
	Next string `json:"next,omitempty"`
}

// List returns the orders in the state, at most limit of them, from the place
// after, which is empty or a page's Next. An empty state lists all. An open
// order whose time has passed is listed as [Unknown].
func (l *Ledger) List(ctx context.Context, state State, after string, limit int) (Page, error) {
	if limit <= 0 || limit > maxListed {
		limit = maxListed
	}
	var p Page
	for range maxScans {
		rows, err := l.Table.List(ctx, Prefix, after, scanRows)
		if err != nil {
			return Page{}, err
		}
		for _, row := range rows {
			after = row.Key
			l.pick(&p, row, state)
			if len(p.Orders) == limit {
				p.Next = after
				return p, nil
			}
		}
		if len(rows) < scanRows {
			return p, nil
		}
	}
	p.Next = after
	return p, nil
}

// pick appends the row's order to the page if it is in the state. A row that
// can't be read is left out and counted.
func (l *Ledger) pick(p *Page, row core.Row, state State) {
	r, err := Decode(row)
	if err != nil {
		l.Meter.Add("orders_bad_rows_total", 1)
		return
	}
	r.State = r.At(l.Clock.Wall())
	r.Answer = nil
	if state == "" || r.State == state {
		p.Orders = append(p.Orders, *r)
	}
}

// settleTries bounds the conditional writes of one [Ledger.Settle].
const settleTries = 5

// Settle keeps an operator's finding, [SettledRan] or [SettledNotRun], on an
// order whose outcome is unknown, and returns the order as it then stands.
// It is bookkeeping: the key is never sent again. Its errors are
// [codes.NotFound], [codes.AlreadySettled], [codes.InProgress] for an order
// under way, and [codes.PlatformDown].
func (l *Ledger) Settle(ctx context.Context, id string, outcome State, by string) (Record, error) {
	if outcome != SettledRan && outcome != SettledNotRun {
		return Record{}, codes.New(codes.BadRequest, "outcome: want %s or %s", SettledRan, SettledNotRun)
	}
	var last error
	for range settleTries {
		r, revision, err := l.find(ctx, id)
		if err != nil {
			return Record{}, err
		}
		if r.State == outcome && r.SettledBy == by {
			return r, nil
		}
		if err := settleable(r, l.Clock.Wall()); err != nil {
			return r, err
		}
		r.State, r.Settled, r.SettledBy, r.Ended = outcome, outcome, by, l.Clock.Wall()
		out := l.Writer.Write(ctx, core.Write{Key: r.RowKey(), Value: r.Encode(), Expect: revision})
		if out.Revision != 0 {
			l.Meter.Add("orders_settled_total", 1, "outcome", string(outcome))
			return r, nil
		}
		last = out.Err
	}
	if last != nil {
		return Record{}, last
	}
	return Record{}, codes.New(codes.Conflict, "order %s changes all the time", id)
}

func settleable(r Record, now clock.Millis) error {
	switch r.At(now) {
	case Unknown:
		return nil
	case Open:
		return codes.New(codes.InProgress, "order %s", r.ID)
	}
	return codes.New(codes.AlreadySettled, "order %s is %s", r.ID, r.State)
}

// find reads one order.
func (l *Ledger) find(ctx context.Context, id string) (Record, int64, error) {
	rows, err := l.Table.Read(ctx, Prefix+id)
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
