// Package once makes calls that may not be repeated: each runs at most once,
// whatever is lost, killed or paused on the way.
//
// A call is identified by its workspace, service and idempotency key. Before
// it is sent, a row with a random token is inserted in the platform's table,
// and only the holder of the token that stands in the row sends the call,
// once. A row that says open is never taken over by another holder; one that
// says abandoned is, since its holder has promised not to send.
//
// # Usage
//
//	b := &once.Book{Table: table, Objects: objects, Sender: sender}
//	answer, err := b.Do(ctx, call)
//	page, err := b.List(ctx, record.Unknown, "", 100)
//	record, err := b.Settle(ctx, id, record.SettledRan, "operator")
//
// An error whose Run is [codes.NotRun] promises that the call didn't run. Any
// other error leaves it open, and the same call may be asked for again: it
// gets the stored answer, or the present state, and is not sent again.
package once
