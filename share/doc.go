// Package share decides which entry reads an engine's load report, and passes
// reports on between entries.
//
// If every entry read every engine, control would cost each entry bytes in
// proportion to the engines, and each engine calls in proportion to the
// entries. Instead each engine has one home among the live entries, by
// rendezvous hashing: the home reads the report and passes it on. The homes
// are not agreed on: two entries that see different sets of live entries read
// an engine twice or, for a moment, not at all, which costs freshness only.
//
// # Usage
//
//	r := &share.Reader{Self: name, Members: table, Upstreams: pool, Engines: client, Peers: peers}
//	r.Run(ctx)
//	r.Take(reports)    // what another entry passed on
package share
