// Package poison quarantines requests that crash the upstreams that run them,
// before they crash a third one.
//
// Every request that was on an upstream when it crashed is a suspect. A suspect
// is retried on another upstream, isolated from all other suspects, so that a
// request that was merely on the same upstream as a poison request is not
// blamed for a second crash. After two crashes its digest is in quarantine:
// every entry rejects it as not run, until the quarantine expires or an
// operator lifts it.
//
// The crashes of a digest are stored in one row of the platform's table. While
// the table is down, an entry uses the crashes that it has detected itself and
// those in its peers' heartbeats. It saves its own once the table is back.
//
// # Usage
//
//	q := &poison.Quarantine{Table: store, Engines: client, Boots: pool}
//	go q.Run(ctx)
//	if q.Quarantined(digest) { ... }
//	leave, err := q.Isolate(ctx, digest, "prefill-1", "decode-2")
//	q.CheckCrashAndWait(ctx, upstream, boot, admitted, digest)
package poison
