// Package abort sends cancels to engines and retries each until the engine
// confirms it, so that a request whose caller is gone does not hold engine
// memory.
//
// A cancel can overtake the call that it cancels. The response "unknown request"
// therefore confirms the cancel only if the call was answered. If the connection
// of the call broke, the engine must respond twice, 500 ms apart.
//
// # Usage
//
//	q := &abort.Queue{Engines: client}
//	q.Add(core.Cancel{Upstream: up, ID: id, Attempt: attempt})
//	err := q.Wait(ctx)    // at shutdown, until all are confirmed
//	q.Close()
package abort
