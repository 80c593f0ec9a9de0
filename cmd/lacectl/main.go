// Lacectl is the command-line tool for operators. It publishes profiles, drains
// upstreams, instances and data centres, and reports violations of the promises.
//
// # Usage
//
//	lacectl profile show|diff|publish|history|rollback
//	lacectl upstream|instance|centre list|drain|undrain
//	lacectl status
//	lacectl promises
//	lacectl orders list|settle
//	lacectl quarantine list|lift
//	lacectl fleet parts|replicas
//	lacectl explain
//
// Exit codes: 0 for success, 1 for a failure, 2 for an invalid command line, 3
// for a conflict with another operator's change, 4 if the outcome is unknown or
// not yet confirmed by every entry.
package main

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"lacewinghook.example/lacewinghook/admin"
	"lacewinghook.example/lacewinghook/args"
)

func main() {
	os.Exit(run())
}

// notes is the end of the help text.
const notes = `Every command takes -admin URL, -token-file F, -ca F, -json and -timeout. The
commands of fleet ask the metrics listener of an entry on the users' platform
(-metrics URL), which needs no token; explain asks it too (-addr HOST:PORT).

Exit codes:
  0  success
  1  failure: the entry rejected the call or could not be reached
  2  invalid command line
  3  another operator's change came first; review it and retry
  4  the outcome is unknown, or not yet confirmed by every entry`

// run executes the command line and returns the exit code.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p := args.Program{
		Name:  "lacectl",
		Help:  "Operates the entries of the router.",
		Notes: notes,
		Commands: slices.Concat(
			profileCommands,
			drainCommands(admin.KindUpstream, "an upstream", listUpstreams),
			drainCommands(admin.KindInstance, "an entry instance", listInstances),
			drainCommands(admin.KindCentre, "a data centre", listCentres),
			statusCommands,
			orderCommands,
			quarantineCommands,
			fleetCommands,
			explainCommands,
		),
	}
	return p.Run(ctx, os.Args[1:])
}
