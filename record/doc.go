// Package record is what the platform's table holds of the calls that may not
// be repeated, and what operators see of them: listing, settling, expiry.
//
// # Usage
//
//	l := &record.Ledger{Table: table, Batch: writes}
//	page, err := l.List(ctx, record.Unknown, "", 100)
//	r, err := l.Settle(ctx, id, record.SettledRan, "operator")
//	n, err := l.Sweep(ctx)
package record
