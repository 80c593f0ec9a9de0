// Package grant reserves the memory of decode upstreams, in pieces, before a
// prefill starts.
//
// [Alone] goes by this entry's own counts and the upstreams' late reports.
// [Shared] takes leases from the upstream's home, the entry that rendezvous
// hashing over the live ones picks, whose [Ledger] knows what all entries
// hold. Leases are short, sized by recent demand, and given back when unused;
// a home that has no room remembers who asked and offers it later. All of it
// is soft state: where a home is wrong, new or silent, memory may be counted
// twice for a while, or is counted as Alone does, and only goodput suffers.
//
// # Usage
//
//	m := &grant.Alone{Counts: table}
//	if m.Take("decode-1", 3) {
//		defer m.Give("decode-1", 3)
//	}
package grant
