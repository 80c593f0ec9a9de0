// Package plain makes calls of plain services: at one replica after another
// where a call may be repeated, and at another one only on proof that the last
// did not get it where it may not.
//
// # Usage
//
//	c := &plain.Caller{Services: client, Replicas: pool, Orders: book}
//	answer, err := c.Call(ctx, call)
package plain
