// Package batch gathers conditional writes of the platform's table from many
// threads and commits them together (group commit).
//
// Writes that arrive while a transaction is under way go in the next one; a
// write alone waits for no company. A row that doesn't stand as expected fails
// its own write only. When a transaction's answer is lost, its rows are read
// back. While the platform fails, the pauses between transactions grow, however
// many writes wait.
//
// # Usage
//
//	b := &batch.Batch{Table: table}
//	out := b.Write(ctx, core.Write{Key: key, Value: value})
//	switch {
//	case out.Revision != 0: // it landed
//	case out.Row != nil:    // another row stands in its place
//	default:                // out.Err: not known, or proof of not landed
//	}
package batch
