package wire

import (
	"context"

	"lacewinghook.example/lacewinghook/slots"
)

// The methods with which entries take slots of plain services. MethodSlot asks the owner
// of a group of replicas for a slot; MethodEnds reports the ends of calls.
const (
	MethodSlot Method = "slot"
	MethodEnds Method = "ends"
)

// AskSlot asks the entry at addr for a slot. It implements [slots.Peers].
func (c *Client) AskSlot(ctx context.Context, addr string, a slots.Ask) (slots.Answer, error) {
	var answer slots.Answer
	err := c.call(ctx, addr, MethodSlot, a, &answer)
	return answer, err
}

// EndSlots reports ends as a notification. It implements [slots.Peers].
func (c *Client) EndSlots(ctx context.Context, addr string, e slots.Ends) error {
	return c.notify(ctx, addr, MethodEnds, e)
}

// OnSlot returns a handler of [MethodSlot] that answers with the result of serve.
func OnSlot(serve func(context.Context, slots.Ask) slots.Answer) MethodHandler {
	return TypedHandler(func(ctx context.Context, a slots.Ask) (slots.Answer, error) { return serve(ctx, a), nil })
}

// OnEnds returns a handler of [MethodEnds] that passes the ends to handle.
func OnEnds(handle func(slots.Ends)) MethodHandler { return notificationHandler(handle) }
