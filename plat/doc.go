// Package plat is a small stand-in for the platform that the program runs on:
// the transactional table, the object store, the lagging instance list and the
// weight store. Tests and trial runs use it; production has the real ones.
//
// # Usage
//
//	p := &plat.Platform{Instances: list}
//	go p.Watch(ctx)
//	http.Serve(ln, p.Handler())
//
// Faults are set through [Table.Faults] or POST /fake/faults.
package plat
