// Package spool holds bytes that came from outside until they can be passed on, within
// a bound on the sum of all of them.
//
// A [Pool] has the bound of one process. Each [Buffer] of it holds the bytes of one
// exchange, in blocks, so that no byte is copied when the buffer grows. If the pool is
// full, the buffer that holds most gives way: it is told by Evict, and its next Write
// fails. A buffer that holds most itself fails at once. One within an equal share waits
// until those that were told have given way.
//
// # Usage
//
//	pool := &spool.Pool{Max: 16 << 20}
//	b := spool.Buffer{Pool: pool, Evict: cancel, Done: ctx.Done()}
//	defer b.Reset()
//	if err := b.Write(p); err != nil { ... }
//	err := b.Each(forward)
package spool
