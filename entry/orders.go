package entry

import (
	"context"

	"lacewinghook.example/lacewinghook/admin"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/once"
)

// orders implements [admin.Orders]. It leaves out what operators have no use
// for: the answers and the attempts' tokens.
type orders struct {
	book *once.Book
}

// List implements [admin.Orders].
func (o orders) List(ctx context.Context, state, after string, limit int) (admin.OrderPage, error) {
	page, err := o.book.List(ctx, once.State(state), after, limit)
	list := admin.OrderPage{Orders: make([]admin.Order, 0, len(page.Orders)), Next: page.Next}
	for _, r := range page.Orders {
		list.Orders = append(list.Orders, orderOf(r))
	}
	return list, err
}

// Settle implements [admin.Orders].
func (o orders) Settle(ctx context.Context, key, outcome, by string) (admin.Order, error) {
	state := once.SettledRan
	if outcome == string(codes.NotRun) {
		state = once.SettledNotRun
	}
	r, err := o.book.Settle(ctx, key, state, by)
	return orderOf(r), err
}

func orderOf(r once.Record) admin.Order {
	return admin.Order{
		Key: r.ID, Workspace: r.Workspace, Service: r.Service, Caller: r.Key,
		Method: r.Method, Path: r.Path, State: string(r.State),
		Opened: r.Opened, Ended: r.Ended, Note: r.Note,
	}
}
