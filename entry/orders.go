package entry

import (
	"context"

	"lacewinghook.example/lacewinghook/admin"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/idem"
	"lacewinghook.example/lacewinghook/record"
)

// orders implements [admin.Orders] on the idempotency records.
type orders struct{ executor *idem.Executor }

// settledStates maps the outcomes that an operator may set to record states.
var settledStates = map[string]record.State{
	string(codes.Ran):    record.SettledRan,
	string(codes.NotRun): record.SettledNotRun,
}

// List implements [admin.Orders].
func (o orders) List(ctx context.Context, state, after string, limit int) (admin.OrderPage, error) {
	page, err := o.executor.List(ctx, record.State(state), after, limit)
	if err != nil {
		return admin.OrderPage{}, err
	}
	p := admin.OrderPage{Orders: make([]admin.Order, 0, len(page.Orders)), Next: page.Next}
	for _, r := range page.Orders {
		p.Orders = append(p.Orders, toAdminOrder(r))
	}
	return p, nil
}

// Settle implements [admin.Orders].
func (o orders) Settle(ctx context.Context, key, outcome, by string) (admin.Order, error) {
	state, ok := settledStates[outcome]
	if !ok {
		return admin.Order{}, codes.New(codes.BadRequest, "outcome: want %s or %s", codes.Ran, codes.NotRun)
	}
	r, err := o.executor.Settle(ctx, key, state, by)
	return toAdminOrder(r), err
}

// toAdminOrder converts an idempotency record to the operators' form.
func toAdminOrder(r record.Record) admin.Order {
	return admin.Order{
		Key: r.ID, Workspace: r.Workspace, Service: r.Service, IdempotencyKey: r.Key,
		Method: r.Method, Path: r.Path, State: string(r.State),
		OpenedAt: r.Opened, EndedAt: r.Ended, Note: r.Note,
	}
}
