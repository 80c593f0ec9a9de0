// Package share decides which entry reads an engine's load report, and
// distributes the reports among the entries.
//
// If every entry read every engine, the control traffic of an entry would grow
// with the number of engines, and the calls to an engine with the number of
// entries. Instead each engine has one owner among the live entries, by
// rendezvous hashing; the owner reads the report and sends it to the others.
// Owners are not agreed on by consensus: two entries with different sets of
// live entries may both read an engine, or neither for a moment, which only
// affects how recent the reports are.
//
// # Usage
//
//	r := &share.Reader{Self: name, Members: table, Upstreams: pool, Engines: client, Peers: peers}
//	go r.Run(ctx)
//	r.ApplyReports(reports)    // received from another entry
package share
