package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"lacewinghook.example/lacewinghook/clock"
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
	var answer answerArray
	err := c.call(ctx, addr, MethodSlot, askArray(a), &answer)
	return slots.Answer(answer), err
}

// EndSlots reports ends as a notification. It implements [slots.Peers].
func (c *Client) EndSlots(ctx context.Context, addr string, e slots.Ends) error {
	return c.notify(ctx, addr, MethodEnds, endsArray(e))
}

// OnSlot returns a handler of [MethodSlot] that answers with the result of serve.
func OnSlot(serve func(context.Context, slots.Ask) slots.Answer) MethodHandler {
	return TypedHandler(func(ctx context.Context, a askArray) (answerArray, error) {
		return answerArray(serve(ctx, slots.Ask(a))), nil
	})
}

// OnEnds returns a handler of [MethodEnds] that passes the ends to handle.
func OnEnds(handle func(slots.Ends)) MethodHandler {
	return notificationHandler(func(e endsArray) { handle(slots.Ends(e)) })
}

// askArray is an ask encoded as an array. The details are omitted if there are none.
type askArray slots.Ask

// MarshalJSON implements [json.Marshaler].
func (a askArray) MarshalJSON() ([]byte, error) {
	items := []any{a.Run, a.Seq, a.Entry, a.Service, a.Target, a.Latest, a.Wait}
	d := &a.AskDetails
	if d.Group != 0 || d.Workspace != "" || d.Priority != 0 || len(d.Exclude)+len(d.Barred)+len(d.Leaving) > 0 {
		items = append(items, d)
	}
	return json.Marshal(items)
}

// UnmarshalJSON implements [json.Unmarshaler].
func (a *askArray) UnmarshalJSON(data []byte) error {
	return decodeItems(data, 7, &a.Run, &a.Seq, &a.Entry, &a.Service, &a.Target, &a.Latest, &a.Wait, &a.AskDetails)
}

// answerArray is an answer encoded as an array: a granted slot, or a refusal.
type answerArray slots.Answer

// MarshalJSON implements [json.Marshaler].
func (a answerArray) MarshalJSON() ([]byte, error) {
	if a.Replica == "" {
		return json.Marshal([]any{a.Refusal})
	}
	return json.Marshal([]any{a.Replica, a.Usual, a.InFlight, a.Slots})
}

// UnmarshalJSON implements [json.Unmarshaler].
func (a *answerArray) UnmarshalJSON(data []byte) error {
	if bytes.HasPrefix(data, []byte("[{")) {
		return decodeArray(data, &a.Refusal)
	}
	return decodeArray(data, &a.Replica, &a.Usual, &a.InFlight, &a.Slots)
}

// endsArray is a batch of ends encoded as an array of numbers: the run, the oldest ask, and
// the number, the outcome and the time of each end.
type endsArray slots.Ends

// MarshalJSON implements [json.Marshaler].
func (e endsArray) MarshalJSON() ([]byte, error) {
	numbers := make([]uint64, 0, 2+itemsPerEnd*len(e.Ends))
	numbers = append(numbers, e.Run, e.Oldest)
	for _, end := range e.Ends {
		numbers = append(numbers, end.Seq, uint64(end.Outcome), uint64(max(0, end.Took)))
	}
	return json.Marshal(numbers)
}

// itemsPerEnd is the number of items of one end.
const itemsPerEnd = 3

// UnmarshalJSON implements [json.Unmarshaler].
func (e *endsArray) UnmarshalJSON(data []byte) error {
	var numbers []uint64
	if err := json.Unmarshal(data, &numbers); err != nil {
		return err
	}
	if len(numbers)%itemsPerEnd != 2 {
		return fmt.Errorf("wire: batch of ends has %d items", len(numbers))
	}
	e.Run, e.Oldest = numbers[0], numbers[1]
	for n := numbers[2:]; len(n) > 0; n = n[itemsPerEnd:] {
		e.Ends = append(e.Ends, slots.End{Seq: n[0], Outcome: slots.Outcome(n[1]), Took: clock.Millis(n[2])})
	}
	return nil
}
