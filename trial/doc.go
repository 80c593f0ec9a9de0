// Package trial runs stand-ins and entries on loopback in one process, for
// trial runs, load runs and tests.
//
// # Usage
//
//	set, err := trial.Start(trial.Plan{Entries: 3, Prefills: 2, Decodes: 2, Services: 1})
//	defer set.Stop()
//	set.Client(0).Complete(ctx, trial.Ask{...})
package trial
