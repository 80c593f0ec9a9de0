// Package idem runs orders: calls to a service that must not run twice. Each
// runs at most once, even if messages are lost or an entry is killed or paused.
//
// An order is identified by its workspace, service and idempotency key. Before
// the call is sent, its idempotency record is inserted into the platform's
// table with a random token, and only the attempt whose token is in the row
// sends the call, once. Another attempt never takes over an open row. It may
// take over an abandoned one, since the attempt that wrote it will never send.
//
// # Usage
//
//	ex := &idem.Executor{Table: table, Objects: objects, Sender: sender}
//	answer, err := ex.Do(ctx, call)
//	page, err := ex.List(ctx, record.Unknown, "", 100)
//	r, err := ex.Settle(ctx, id, record.SettledRan, "operator")
//
// An error whose Run is [codes.NotRun] guarantees that the call did not run.
// After any other error the call may have run. The same call may be repeated:
// it returns the stored answer or the current state and is not sent again.
package idem
