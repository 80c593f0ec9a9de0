// Package taint finds the parts of prompts, and the requests, that crash the upstreams that
// answer them, and keeps them from crashing more.
//
// A request that is lost in a crash before its upstream has answered makes each part of its
// prompt a suspect. In a table with Whole set, its digest becomes one instead. Most suspects
// are innocent: the request may only have been at the upstream when another one crashed it,
// and deadly prompts share their other parts with sound requests. So a suspect is judged by
// the crashes that it met and by what speaks for it:
//
//   - A request with it that is answered clears it, before and after the verdict.
//   - A part that was answered shortly before a crash isn't blamed if the crash met another
//     part that was not.
//   - A suspect is in doubt while each of its crashes met another request, with a suspect
//     that more crashes speak against.
//   - Crashes that a part explains don't speak against whole requests.
//
// Crashes that happen together, as in the loss of a rack, count as one round: a round is
// counted only if the sender of the request knew of the round before. After a burst of
// crashes a suspect is on trial: over all entries one request with it is sent at a time, by
// a permit of the entry that owns the trials (see [Table.Permit]), and the others are
// rejected. An answer clears it, and a crash is the next round. After three rounds it is
// quarantined: all requests with it are rejected.
//
// Parts that were lost together each time can't be told apart. A request is affected only
// if it has all of them that are not cleared, so that sound requests with one of them are
// still served, and clear it.
//
// Entries exchange their suspects in heartbeats: each change is sent once to each peer that
// hasn't told of it ([Spread]). What is known of a part is merged from any order of messages
// to the same result: clearing a part begins a new epoch, and within an epoch crashes are
// added. No rule compares the clocks of two entries. An entry doesn't quarantine parts for
// crashes that only one other entry has seen. Verdicts are also saved in a [Store], since
// they must outlast all entries.
//
// # Usage
//
//	t := &taint.Table{Self: "moose-jaw-1"}
//	s := &taint.Spread{Table: t, Trigger: sendHeartbeats}
//	t.OnChange = s.Announce
//	go t.Run(ctx)
//	if part, left, ok := t.Quarantined(parts); ok { ... } // before each send
//	if tried := t.OnTrial(parts); len(tried) > 0 { ... }  // ask the owner for its Permit
//	mark := t.Mark()                                      // just before the send
//	t.AddCrash(taint.Loss{Parts: parts, Mark: mark})      // the upstream has crashed
//	t.Clear(parts)                                        // it has answered
//	heartbeat.Tainted, heartbeat.TaintSum = s.News(peer)
//	s.Handle(peer, heartbeat.Tainted, heartbeat.TaintSum)
package taint
