// Package drain keeps the operators' drains: upstreams, instances and data
// centres that get no new work.
//
// A drain is a row of the platform's table. Each change also raises the
// number in one more row, in the same transaction, so that all drains have
// one order: an entry can tell which of two states of the drains is newer,
// also when a peer tells it of one while the table is out of reach.
//
// # Usage
//
//	b := &drain.Book{Table: store, OnChange: apply}
//	go b.Run(ctx)
//	err := b.Drain(ctx, drain.Drain{Kind: drain.Upstream, Name: "decode-1"})
//	all := b.List()
//	b.Newer(version, peer)    // a peer's heartbeat shows a newer state
package drain
