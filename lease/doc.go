// Package lease gives one entry at a time the right to order the engines of a
// group, and carries out the published desired states.
//
// A lease is a row of the platform's table with a holder and a fencing number
// that rises with each change of holder. The holder renews it; another entry
// takes it over once it has seen the row unchanged for the lease's span on its
// own monotonic clock. No two machines' clocks are compared.
//
// A holder that was paused may wake believing that it still holds the lease.
// It looks at its own monotonic clock before each order. An order that was on
// its way by then is refused by engines that check fencing numbers; at other
// engines the present holder reads the state back and asserts it again.
//
// # Usage
//
//	k := &lease.Keeper{Table: table, Engines: engines, Owner: owner, Centre: centre}
//	k.Round(ctx, doc)     // every lease.RoundEvery, by every entry
package lease
