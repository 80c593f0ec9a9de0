// Package grant reserves the memory of decode upstreams, in pieces, before a
// prefill starts.
//
// [Local] relies on this entry's own counts and the engines' reports, which
// lag. [LeaseClient] uses leases from the owner of the upstream, which is chosen
// among the live entries by rendezvous hashing. The owner's [Ledger] tracks the
// leases of all entries. Leases are short, sized by recent demand and returned
// when unused. A request that can't be met in full waits at the owner, which
// later sends an offer.
//
// All of this is soft state. If entries disagree on the owner, or if the owner is
// new or doesn't answer, memory may be counted twice for a while, or only by local
// counts. This reduces goodput but violates no guarantee.
//
// # Usage
//
//	m := &grant.Local{Counts: table}
//	if m.Reserve("decode-1", 3) {
//		defer m.Release("decode-1", 3)
//	}
package grant
