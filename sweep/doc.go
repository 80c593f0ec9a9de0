// Package sweep cancels what engines run for entries that are dead. Engines
// list what they hold memory for, with its owner; each upstream is looked at
// by one live entry, its home.
//
// Only an owner that is known to be dead loses its requests, and only if the
// engine still lists them for it after a grace: a request that a live entry
// has taken over has another owner by then, and the cancel of an older attempt
// does not reach it.
//
// # Usage
//
//	s := &sweep.Sweeper{Owners: members, Homes: homes, Upstreams: pool, Engines: client, Cancels: book}
//	clock.Every(ctx, sweep.Every, s.Sweep)
package sweep
