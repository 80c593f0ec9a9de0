// Package member maintains the membership table of the entries: which ones are
// alive or leaving, and which addresses are returned to callers.
//
// The platform's list provides the candidates, with a delay. Heartbeats
// between the entries keep their states current and carry changes: the
// versions of the published document and of the drains, and which entries have
// started to leave. Up to nine entries send heartbeats to each other. In a
// larger set each sends to a few fixed partners, and relays changes to them at
// once.
//
// The tables of the entries are not kept consistent by consensus: a wrong
// table costs extra work but breaks no guarantee. The exception is
// [Table.OwnerState] reporting that an owner is dead, which releases the engine
// memory of its requests; it requires two independent sources.
//
// # Usage
//
//	t := &member.Table{Self: instance, Boot: boot}
//	t.ApplyList(listing)           // from the platform
//	t.HandleHeartbeat(heartbeat)   // a peer's heartbeat has arrived
//	for _, p := range t.Partners() {
//		sentAt := t.Clock.Now()
//		answer, err := call(p, heartbeat)
//		t.HandleAnswer(answer, sentAt) // or t.RecordFailure(p.Name, sentAt)
//	}
//	addrs := t.Addresses()
package member
