// Package abort keeps the cancels that an engine has not confirmed yet, and
// sends each again until it is: a request whose caller is gone must not hold
// engine memory.
//
// A cancel can overtake the call that it is for. So an engine's answer that it
// doesn't know the request counts at once only where that call was answered;
// where it was broken off, the engine must say so twice, a settling time
// apart.
//
// # Usage
//
//	b := &abort.Book{Engines: client}
//	b.Add(core.Cancel{Upstream: up, ID: id, Attempt: attempt})
//	err := b.Wait(ctx)    // on a stop: until all are confirmed
//	b.Close()
package abort
