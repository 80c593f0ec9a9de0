// Package lease implements leases that allow one entry at a time to send orders
// to the engines of a group, and reconciles those engines with their published
// desired states.
//
// A lease is a row of the platform's table with a holder and a fencing number
// that increases with each change of holder. The holder renews the lease.
// Another entry takes it over after the row hasn't changed for the TTL of the
// lease, measured on that entry's own monotonic clock. Clocks of different
// machines are never compared.
//
// A holder that was paused may still assume that it holds an expired lease.
// Therefore it checks its own monotonic clock before each order. An order that
// was already in flight is rejected by engines that check fencing numbers. For
// other engines, the current holder reads the state back and orders it again.
//
// # Usage
//
//	r := &lease.Reconciler{Table: table, Engines: engines, Owner: owner, Centre: centre}
//	r.Reconcile(ctx, doc)     // on every entry, every lease.ReconcileInterval
package lease
