// Package task counts threads and what they hold, so that a stop can wait for
// them and a burst can't fill the memory.
//
// # Usage
//
//	var g task.Group
//	started := g.Go(func() { work(g.Context()) })
//	err := g.Close(ctx)     // waits; once ctx ends, cancels and waits
//
//	var q task.Quota
//	if !q.Add(size, maxTasks, maxBytes) { ... }
//	defer q.Remove(size)
package task
