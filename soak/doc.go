// Package soak runs the real program as several processes on loopback, injects faults from
// outside them, and checks the promises of the system from what callers and replicas see.
// The store and the replicas are the stand-ins of package extsim; each entry reaches them
// through proxies. docs/SOAK.md lists what is injected and checked, and what can't be seen.
//
// A seed fixes the plan: which signals, restarts, changes of the manifest and failures come
// at which time. They come in series, and series overlap. It doesn't fix the interleaving
// of the processes.
//
// # Usage
//
//	o := soak.Options{Program: "./lacewinghook", Dir: dir, Duration: 20 * clock.Second, Entries: 3, Replicas: 8}
//	r, err := soak.Run(ctx, o, seed)
//	if err == nil && len(r.Findings) > 0 {
//		err = soak.WriteTable(os.Stdout, []*soak.Result{r})
//	}
package soak
