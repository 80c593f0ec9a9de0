// Package poison finds requests that crash the upstreams that run them, and
// keeps them from a third one.
//
// Every request that was at an upstream when it crashed is a suspect. A
// suspect runs again on another upstream, where no other suspect is at that
// time, so that one that merely shared a crash is not condemned by a second
// one. After two crashes its digest is in quarantine: refused at every entry,
// not run, until the time is over or an operator lifts it.
//
// The crashes of a digest stand in one row of the platform's table. While the
// table is down an entry goes by what it knows itself and what its peers tell
// with their heartbeats, and writes its part when the table is back.
//
// # Usage
//
//	b := &poison.Book{Table: store, Engines: client, Boots: pool}
//	go b.Follow(ctx)
//	if b.Refused(digest) { ... }
//	leave, err := b.Enter(ctx, digest, "prefill-1", "decode-2")
//	b.Broke(ctx, upstream, boot, began, digest)
package poison
