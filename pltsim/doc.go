// Package pltsim simulates the platform that the router runs on, in memory: the
// transactional table, the object store, the instance list (which lags behind
// the instances) and the weight store. Only tests and trial runs use it.
//
// # Usage
//
//	p := &pltsim.Platform{Instances: list}
//	go p.ProbeInstances(ctx)
//	http.Serve(ln, p.Handler())
//
// Faults are injected through [Platform.Faults] or POST /fake/faults.
package pltsim
