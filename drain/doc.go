// Package drain manages the operators' drains: upstreams, instances and data
// centres that receive no new work.
//
// Each drain is a row of the platform's table. Every change also increments a
// version number in a separate row, in the same transaction. The versions order
// all states of the drains, so that an entry recognizes a newer state even if
// it comes from a peer while the table is unreachable.
//
// # Usage
//
//	a := &drain.ActiveDrains{Table: store, OnChange: apply}
//	go a.Run(ctx)
//	err := a.Drain(ctx, drain.Drain{Kind: drain.Upstream, Name: "decode-1"})
//	all := a.List()
//	a.ReportVersion(version, peer)    // from a peer's heartbeat
package drain
