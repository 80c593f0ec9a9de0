// Package sweep cancels requests that dead entries left on engines. Engines
// list the requests that they hold memory for, with their owners. One live
// entry is assigned to each upstream and sweeps it.
//
// A request is cancelled only if its owner is certainly dead and the engine
// still lists it for that owner after a grace period. A request that a live
// entry has taken over has another owner by then, and a cancel of the older
// attempt does not affect it.
//
// # Usage
//
//	s := &sweep.Sweeper{
//		Owners: members, Assignments: assignments, Upstreams: pool,
//		Engines: client, Cancels: queue,
//	}
//	s.Clock.Every(ctx, sweep.Interval, s.Sweep)
package sweep
