// Package load drives entries with an open-loop load from a plan and measures
// what comes back, one row for each policy side by side.
//
// A plan has a fixed seed, so that every policy meets the same arrivals. All
// entries and stand-ins run in this process and speak over loopback sockets.
//
// # Usage
//
//	plan, err := load.Read("plans/verse.json")
//	report, err := load.Run(ctx, plan, os.Stderr)
//	report.Text(os.Stdout)
package load
