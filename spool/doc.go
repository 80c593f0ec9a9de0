// Package spool holds bytes that came from outside until they can be passed on, within
// a bound on the sum of all of them.
//
// A [Pool] has the bound of one process. Each [Buffer] of it holds the bytes of one
// exchange, in blocks, so that no byte is copied when the buffer grows. If the pool is
// full, the buffer that holds most gives way: it is told by Evict, and its next Write
// fails. A buffer that holds most itself fails at once. Bytes that must be kept, such as
// the body of a request that is being run, are in lasting buffers, which are pinned once
// they are complete. Such a buffer is admitted only if it leaves as much room as it takes.
//
// # Usage
//
//	pool := &spool.Pool{Max: 16 << 20}
//	b := spool.Buffer{Pool: pool, Evict: cancel}
//	defer b.Reset()
//	if err := b.Write(p); err != nil { ... }
//	err := b.Each(forward)
//
//	body := spool.Buffer{Pool: bodies, Lasting: true, Evict: cancelRead}
//	defer body.Reset()
//	if err := body.Reserve(length); err != nil { ... }
//	if _, err := body.ReadFrom(r); err != nil { ... }
//	if err := body.Pin(); err != nil { ... }
package spool
