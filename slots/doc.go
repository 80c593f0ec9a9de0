// Package slots grants the calls of plain services concurrency slots at replicas.
//
// The load pattern: many entries share few slots, and each knows only its own calls. A
// burst then fills some replicas while others are idle, and refused calls use up retries.
// The replicas of a service are divided into [Groups]. Each group has an owner among the
// entries, whose [Desk] counts the calls of all entries at its replicas, chooses the
// replica of each call, and keeps calls waiting while all slots are taken. A [Client]
// finds the owner, asks it before a call is sent, and reports the ends of calls.
//
// All of this is soft state. An owner that starts counts from zero, and the replicas' own
// queues take the excess. A grant whose end isn't reported ends at the deadline of its
// call. If no owner answers, a call is sent without a grant.
//
// # Usage
//
//	desk := &slots.Desk{Replicas: replicas}
//	go desk.Run(ctx) // ends expired grants
//
//	c := &slots.Client{Desk: desk, Peers: client, Entries: entries, Groups: groups}
//	go c.Run(ctx) // reports the ends of calls
//	grant, ok, err := c.Take(ctx, request)
//	c.End(grant, slots.Answered, took)
package slots
