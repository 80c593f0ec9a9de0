// Package assign assigns each upstream to one live entry, its owner, by
// rendezvous hashing. The owner does the work that is needed once for all
// entries: it reads engine reports, tracks the leases of decode memory, and sweeps
// the work of dead entries. Entries don't agree on owners: if their lists of live
// entries differ, so may the owners, and no guarantee depends on the assignment.
//
// Upstreams of which one owner decides for all entries are divided into groups ([Divide]),
// whose owners a [Finder] finds.
//
// # Usage
//
//	mine := assign.Owner(upstream, members.Live()) == self
//
//	var f assign.Finder
//	owner, ok := f.Owner(assign.GroupKey(service, group), entries, now)
//	f.PassOver(owner.Name, now, 2*clock.Second) // it didn't answer
package assign
