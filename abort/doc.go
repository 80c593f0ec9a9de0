// Package abort sends cancels to engines and retries each until the engine
// confirms it, so that a request whose caller is gone does not hold engine
// memory.
//
// A cancel can overtake the call that it cancels. An engine's response that it
// does not know the request is therefore a confirmation only if the call was
// answered. If the connection of the call broke, the engine must respond so
// twice, 500 ms apart.
//
// # Usage
//
//	q := &abort.Queue{Engines: client}
//	q.Add(core.Cancel{Upstream: up, ID: id, Attempt: attempt})
//	err := q.Wait(ctx)    // at shutdown, until all are confirmed
//	q.Close()
package abort
