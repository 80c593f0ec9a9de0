// Package record stores the idempotency records of orders (calls that must not
// run twice) in the platform's table. Operators list and settle them, and old
// ones expire.
//
// # Usage
//
//	s := &record.Store{Table: table, Writer: batch}
//	page, err := s.List(ctx, record.Unknown, "", 100)
//	r, err := s.Settle(ctx, id, record.SettledRan, "operator")
//	n, err := s.Sweep(ctx)
package record
