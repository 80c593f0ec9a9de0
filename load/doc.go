// Package load runs open-loop load tests against a cluster of entries and fake
// engines, and reports one row for each policy and seed.
//
// Arrivals are drawn from a fixed seed, so that every policy receives the same
// requests at the same times. All entries and fakes run in this process and
// communicate over loopback sockets.
//
// # Usage
//
//	plan, err := load.ReadPlan("plans/verse.json")
//	report, err := load.Run(ctx, plan, os.Stderr)
//	report.Text(os.Stdout)
package load
