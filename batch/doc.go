// Package batch implements group commit: it combines conditional writes to the
// platform's table from many threads into transactions.
//
// Writes that arrive during a transaction form the next one; a write is never
// delayed to wait for others. A conflict on one row fails only the write of that
// row. If the response to a transaction is lost, its rows are read back. While
// the platform fails, transactions are delayed by exponential backoff,
// regardless of the number of queued writes.
//
// # Usage
//
//	b := &batch.Batch{Table: table}
//	out := b.Write(ctx, core.Write{Key: key, Value: value})
//	switch {
//	case out.Revision != 0: // committed
//	case out.Row != nil:    // conflict: the row has another revision
//	default:                // out.Err: unknown, or proof that nothing was written
//	}
package batch
