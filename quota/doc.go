// Package quota holds the requests of a workspace, summed over all entries, to its limit.
//
// Each workspace has an owner among the entries, which holds a [Bucket]. The other entries
// ask it for what their requests cost. While the bucket is at least half full, an entry
// also gets a [Lease] for the requests that it expects next; near the limit it gets what
// the waiting requests cost and nothing more. A request for which there is nothing is
// refused at once. Tokens of a lease that has ended and of requests that did not run go
// back to the owner.
//
// An entry that reaches no owner admits requests from its own small share ([Policy.Share]).
// [Table] decides; [Client] exchanges the messages. All state is soft.
//
// # Usage
//
//	c := &quota.Client{Self: self, Peers: peers, Entries: listed, Table: quota.Table{Limits: limits}}
//	go c.Run(ctx)
//	taken, err := c.Take(ctx, request)   // err is codes.RateLimited
//	c.Return(taken)                      // the request did not run
//	answer := c.Serve(ctx, ask)          // another entry asks
package quota
