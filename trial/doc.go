// Package trial runs entries with a simulated platform, engines and services on
// loopback in one process, for trial runs, load tests and tests. It also has the
// clients that call the entries.
//
// # Usage
//
//	cluster, err := trial.Start(trial.Plan{Entries: 3, Prefills: 2, Decodes: 2, Services: 1})
//	defer cluster.Stop()
//	cluster.Client(0).Complete(ctx, trial.Request{...}, nil)
package trial
