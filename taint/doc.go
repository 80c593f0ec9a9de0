// Package taint quarantines parts of prompts that crash the upstreams that answer
// requests with them, whatever else these requests hold.
//
// A request that is lost in a crash before its upstream has answered makes each of its
// parts a suspect. Most of them are innocent: the request may only have been at the
// upstream when another one crashed it, and other parts of a deadly prompt are shared
// with sound requests. So a part is quarantined only after [maxRound] crashes of which
// each one's request was sent by an entry that knew of the crash before, and by more than
// one request. Crashes that happen together, as in the loss of a rack, count as one. A
// request with the part that is answered clears it, before and after that.
//
// Parts that were lost together each time can't be told apart. A request is rejected only
// if it has all of them that are not cleared, so that sound requests with one of them are
// still served, and clear it.
//
// Entries exchange their suspects in heartbeats. What is known of a part is merged from
// any order of messages to the same result: clearing a part begins a new epoch, and
// within an epoch crashes are added. No rule compares the clocks of two entries. An
// entry doesn't act on crashes that only one other entry has seen. Quarantines are also
// saved in a [Store], since they must outlast all entries.
//
// # Usage
//
//	t := &taint.Table{Self: "moose-jaw-1", OnChange: sendHeartbeats}
//	go t.Run(ctx)
//	if q, ok := t.Quarantined(parts); ok { ... }      // before each send
//	mark := t.Mark()                                  // just before the send
//	t.AddCrash(taint.Loss{Parts: parts, Mark: mark})  // the upstream has crashed
//	t.Clear(parts)                                    // it has answered
//	t.Merge(heartbeat.Tainted)
package taint
