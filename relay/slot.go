package relay

import (
	"context"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/slots"
	"lacewinghook.example/lacewinghook/stall"
)

// chosenReplica is a replica that was selected for a send.
type chosenReplica struct {
	up core.Upstream
	// usual is its usual answer time, and cost the expected one in milliseconds.
	usual clock.Millis
	cost  float64
	// sends is the number of sends of the request, this one included. The search for another
	// replica changes that of the exchange during a send.
	sends int
	// slot is the granted slot; its Replica is empty if this entry has chosen.
	slot slots.Grant
}

// slotFields returns the log fields of the granted slot.
func (c *chosenReplica) slotFields() []zap.Field {
	if c.slot.Replica == "" {
		return nil
	}
	return []zap.Field{zap.String("slot_owner", c.slot.Owner), zap.Int64("slot_wait", int64(c.slot.Waited)),
		zap.Int("in_flight", c.slot.InFlight), zap.Int("slots", c.slot.Slots)}
}

// chooseReplica selects the replica for the next send, by a slot if they are granted. It
// waits for a slot, or for the end of a short pause if all replicas are paused.
func (x *exchange) chooseReplica(ctx context.Context) (chosenReplica, error) {
	for {
		to, ok, err := x.takeSlot(ctx, "", false)
		if err != nil {
			x.logNoSlot(err)
		} else if !ok {
			if to, ok = x.selectReplica(""); !ok {
				err = codes.New(codes.NoUpstream, "service %q", x.opaque.Service)
			}
		}
		if err == nil {
			return to, nil
		}
		if err = x.awaitPause(ctx, x.serviceReplicas, err); err != nil {
			return chosenReplica{}, err
		}
	}
}

// chooseOther selects another replica than the silent one if it can take the call now.
func (x *exchange) chooseOther(ctx context.Context, silent string) (to chosenReplica, ok bool) {
	to, ok, err := x.takeSlot(ctx, silent, true)
	if err != nil || ok {
		return to, err == nil
	}
	return x.selectReplica(silent)
}

// maxSlotTries is the number of slots that are taken at replicas which this entry knows to
// be unusable, because its list of replicas is newer than the owner's or older.
const maxSlotTries = 3

// takeSlot takes a slot for the next send, not at silent if there is another replica. ok is
// false without an error if no one grants slots.
func (x *exchange) takeSlot(ctx context.Context, silent string, noWait bool) (to chosenReplica, ok bool, err error) {
	if x.relay.Slots == nil {
		return chosenReplica{}, false, nil
	}
	target := x.request.Arrived + x.request.Profile.FirstToken
	if x.request.Profile.FirstToken == 0 {
		target = x.request.Deadline
	}
	r := slots.Request{
		Service: x.opaque.Service, Workspace: x.request.Workspace, Priority: x.request.Profile.Priority,
		Target: target, Latest: x.request.Deadline, Exclude: x.excludedEngines(), NoWait: noWait,
	}
	if silent != "" {
		r.Exclude = append(r.Exclude, silent)
	}
	for range maxSlotTries {
		g, ok, err := x.relay.Slots.Take(ctx, r)
		if err != nil || !ok {
			return chosenReplica{}, false, err
		}
		to := chosenReplica{up: x.upstream(g.Replica), usual: g.Usual, cost: float64(g.Usual), slot: g}
		if s, listed := x.relay.Pool.Get(g.Replica); listed && !s.Draining && !x.relay.notice(g.Replica).Barred {
			return to, true, nil
		}
		x.endSlot(to, slots.Unused, 0)
		r.Exclude = append(r.Exclude, g.Replica)
	}
	return chosenReplica{}, false, nil
}

// endSlot returns the slot of a replica, if there is one.
func (x *exchange) endSlot(to chosenReplica, o slots.Outcome, took clock.Millis) {
	if to.slot.Replica != "" {
		x.relay.Slots.End(to.slot, o, took)
	}
}

// answeredOutcome returns the outcome of a call that was answered with a status.
func answeredOutcome(status int) slots.Outcome {
	if status >= minFailureStatus {
		return slots.Failed
	}
	return slots.Answered
}

// failedOutcome returns the outcome of a send that failed with err. ctx is that of the send.
func failedOutcome(ctx context.Context, err error) slots.Outcome {
	switch e := codes.From(err); {
	case errors.Is(context.Cause(ctx), stall.ErrIdle):
		return slots.Failed
	case ctx.Err() != nil:
		return slots.Unused
	case e.Run == codes.NotRun:
		return slots.Refused
	}
	return slots.Failed
}

// logNoSlot logs that the call got no slot.
func (x *exchange) logNoSlot(err error) {
	x.slotRetry = codes.From(err).RetryAfter
	x.log.Info("relay: no slot", append(x.relay.replicaListFields(), zap.String("request", x.opaque.ID), zap.String("service", x.opaque.Service),
		zap.Int("sends", x.sends), zap.Int64("since", int64(x.relay.Clock.Now()-x.request.Arrived)), zap.Int64("left", int64(x.timeLeft())),
		zap.Int64("retry_after", int64(x.slotRetry)), zap.Error(err))...)
}
