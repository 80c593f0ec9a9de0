package once

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

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
func (b *Book) List(ctx context.Context, state State, after string, limit int) (Page, error) {
	if limit <= 0 || limit > maxListed {
		limit = maxListed
	}
	var p Page
	for range maxScans {
		rows, err := b.Table.List(ctx, Prefix, after, scanRows)
		if err != nil {
			return Page{}, err
		}
		for _, row := range rows {
			after = row.Key
			b.pick(&p, row, state)
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
func (b *Book) pick(p *Page, row core.Row, state State) {
	r, err := decode(row)
	if err != nil {
		b.Meter.Add("once_bad_rows_total", 1)
		return
	}
	r.State = r.at(b.Clock.Wall())
	r.Answer = nil
	if state == "" || r.State == state {
		p.Orders = append(p.Orders, *r)
	}
}

// settleTries bounds the conditional writes of one [Book.Settle].
const settleTries = 5

// Settle keeps an operator's finding, [SettledRan] or [SettledNotRun], on an
// order whose outcome is unknown, and returns the order as it then stands.
// It is bookkeeping: the key is never sent again. Its errors are
// [codes.NotFound], [codes.AlreadySettled], [codes.InProgress] for an order
// under way, and [codes.PlatformDown].
func (b *Book) Settle(ctx context.Context, id string, outcome State, by string) (Record, error) {
	if outcome != SettledRan && outcome != SettledNotRun {
		return Record{}, codes.New(codes.BadRequest, "outcome: want %s or %s", SettledRan, SettledNotRun)
	}
	var last error
	for range settleTries {
		r, revision, err := b.find(ctx, id)
		if err != nil {
			return Record{}, err
		}
		if r.State == outcome && r.SettledBy == by {
			return r, nil
		}
		if err := settleable(r, b.Clock.Wall()); err != nil {
			return r, err
		}
		r.State, r.Settled, r.SettledBy, r.Ended = outcome, outcome, by, b.Clock.Wall()
		out := b.write(ctx, core.Write{Key: r.key(), Value: r.encode(), Expect: revision})
		if out.revision != 0 {
			b.Meter.Add("orders_settled_total", 1, "outcome", string(outcome))
			return r, nil
		}
		last = out.err
	}
	if last != nil {
		return Record{}, last
	}
	return Record{}, codes.New(codes.Conflict, "order %s changes all the time", id)
}

func settleable(r Record, now clock.Millis) error {
	switch r.at(now) {
	case Unknown:
		return nil
	case Open:
		return codes.New(codes.InProgress, "order %s", r.ID)
	}
	return codes.New(codes.AlreadySettled, "order %s is %s", r.ID, r.State)
}

// find reads one order.
func (b *Book) find(ctx context.Context, id string) (Record, int64, error) {
	rows, err := b.Table.Read(ctx, Prefix+id)
	if err != nil {
		return Record{}, 0, err
	}
	if len(rows) == 0 {
		return Record{}, 0, codes.New(codes.NotFound, "order %s", id)
	}
	r, err := decode(rows[0])
	if err != nil {
		return Record{}, 0, err
	}
	return *r, rows[0].Revision, nil
}
