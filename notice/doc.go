// Package notice keeps what replicas state about themselves in their answers: that
// they leave, and that they want no requests for a time (a pause).
//
// What an answer states is evidence of this entry. It outweighs the list of replicas,
// which may be older. That a replica leaves holds for one run of it: it ends when the
// list shows a new run under the same name, when another replica answers at the
// address, which bars the listed one for [replacedLife], or [goneLife] after the list has ceased to show the replica. A pause ends
// by itself.
//
// An address that refuses connections makes its replica the last choice for
// [refusedLife], at all entries: they tell each other ([Table.Refused]), so that not each
// of them has to find out.
//
// Entries tell each other which replicas leave ([Word]), so that one that has started
// knows it too. A word excludes a replica only while there are others, and for at most
// [wordLife]. Pauses aren't told: a replica wants them of one entry.
//
// # Usage
//
//	t := &notice.Table{Self: "edge-1", Drain: 2 * clock.Second, OnResume: wake}
//	t.Apply(fleet.Replicas)       // each list of replicas
//	t.OnNotice(upstream, n)       // from an answer
//	t.HandleWords(heartbeat.Leaving)
//	if s := t.Status("d-1"); s.Barred { ... }
package notice
