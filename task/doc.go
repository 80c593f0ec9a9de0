// Package task tracks goroutines and the memory that they use: [Group] lets a
// shutdown wait for them, [Quota] keeps a burst from exhausting the memory.
//
// # Usage
//
//	var g task.Group
//	started := g.Go(func() { work(g.Context()) })
//	err := g.Close(ctx)     // waits; if ctx ends, cancels the work and waits
//
//	var q task.Quota
//	if !q.Add(size, maxTasks, maxBytes) { ... }
//	defer q.Remove(size)
package task
