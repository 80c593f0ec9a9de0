// Package limit provides the wait queue for admission and the limits on retries.
//
// A [Queue] holds requests until the capacity they need is free, so that they are
// bound to an upstream as late as possible. The most urgent priority goes first, and
// within it, among the workspaces that are not ahead of their fair share, the request
// with the earliest target. A request that can no longer make its target goes behind
// those that can, with a small share of the turns. Another share of the turns goes to
// the requests of a workspace and priority, and to large ones, that are served much less
// often than others. A request that can't have its first token by Latest is
// rejected. A waiting request blocks on a channel. After capacity was released,
// [Queue.Wake] must be called. One timer per queue rejects the requests that have
// expired. The error of a rejected request has the time after which its caller may
// return, unless nothing can be predicted: the time in which the work ahead is done,
// spread so that callers rejected together don't return together.
//
// A [Budget] allows retries as a share of recent successes. A [Window] bounds
// extra sends within a sliding time window.
//
// # Usage
//
//	q := &limit.Queue{}
//	err := q.Wait(ctx, limit.Ticket{Workspace: w, Cost: tokens, Target: t, Latest: t, Try: f})
//	q.Wake()      // whenever capacity was released
//
//	var b limit.Budget
//	if b.Spend() { /* retry after limit.Backoff{}.Delay(n, draw) */ }
//	b.Earn()
package limit
