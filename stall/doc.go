// Package stall abandons calls to upstreams that have fallen silent.
//
// Silence alone doesn't show that an upstream has failed: it may still answer. A
// [Watchdog] therefore looks for a way to go on elsewhere before it gives a call up. Once
// the upstream has been silent for the limit, it calls Secure. If Secure finds nothing, the
// call goes on and the search is repeated after [searchInterval]. Data that arrives during
// a search abandons the search, and what it has secured is released by Unsecure. A pause of
// the process itself isn't silence of the upstream: if the timer fires late, the search
// begins later by as much, the limit at most.
//
// The callbacks run in the goroutine of the timer, one search at a time, and without a lock
// held, except Unsecure and Cancel: these must not call the Watchdog.
//
// # Usage
//
//	call, cancel := context.WithCancelCause(ctx)
//	w := &stall.Watchdog{Limit: 2 * clock.Second, Secure: reserve, Unsecure: release, Cancel: cancel, Log: log}
//	w.Start(ctx)
//	err := receive(call, func() { w.DataReceived(limit) })
//	w.Stop(err != nil && ctx.Err() == nil)
//	if errors.Is(context.Cause(call), stall.ErrIdle) { ... } // go on with what reserve found
package stall
