// Package alloc places completions on engines.
//
// A [Desk] holds the requests that wait for engines, and selects the engines. It
// decides on counts of work that must include the work of all entries. A few entries
// tell each other their work ([lacewinghook.example/lacewinghook/gossip]), and each
// places its own requests. Among many entries that costs too much, and the counts
// are old when they are used. There the engines are divided into [Groups]. Each
// group has an owner among the entries, which places the requests of all entries on
// the group's engines. A [Client] asks the owners, two for each request, so that the
// load spreads over the groups, and reports this entry's work to them. A [Ledger]
// holds the work reported to this entry as an owner.
//
// All of this is soft state. Entries may disagree on an owner, and a new owner knows
// the work of others only after their next report. Memory is then counted too low
// for up to a second, and an engine rejects what it has no memory for.
//
// # Usage
//
//	desk := &alloc.Desk{Pool: table}
//	err := desk.Place(ctx, request, func(c alloc.Choice) { /* count the work */ })
//
//	c := &alloc.Client{Desk: desk, Peers: client, Entries: entries, Groups: groups, Loads: loads}
//	go c.Run(ctx) // reports to the owners
//	err = c.Place(ctx, request, count)
package alloc
