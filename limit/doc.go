// Package limit decides when a request may start and whether a failed one may
// be tried again.
//
// A [Line] holds requests until what they need is free, so that they are
// bound to an upstream as late as possible. Among the workspaces that are not
// ahead of their share the earliest target goes first; a request that can't
// make its target any more goes behind those that can, with a small share of
// the turns; one that can't make its latest instant is refused. A parked
// request waits on a channel. Whoever frees capacity calls [Line.Wake]; one
// timer a line refuses what has become hopeless.
//
// A [Budget] allows new attempts as a share of recent successes.
//
// # Usage
//
//	l := &limit.Line{}
//	err := l.Wait(ctx, limit.Ticket{Workspace: w, Cost: tokens, Target: t, Latest: t, Try: f})
//	l.Wake()      // whenever something was released
//
//	var b limit.Budget
//	if b.Spend() { /* try again after limit.Backoff{}.Delay(n, draw) */ }
//	b.Earn()
package limit
