// Lacectl is the operators' tool: it publishes profiles, drains, and shows
// whether the promises hold.
//
// # Usage
//
//	lacectl profile show|diff|publish|history|rollback
//	lacectl upstream|instance|centre list|drain|undrain
//	lacectl status
//	lacectl promises
//	lacectl orders list|settle
//	lacectl quarantine list|lift
//
// Exit codes: 0 for success, 1 for a failure, 2 for a wrong command line, 3 if
// another operator's change came first, 4 if the outcome is not known or not
// yet confirmed everywhere.
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

const notes = `Every command takes -admin URL, -token-file F, -ca F, -json and -timeout.

Exit codes:
  0  success
  1  failure: the entry refused or could not be reached
  2  wrong command line
  3  another operator's change came first; look at it and try again
  4  the outcome is not known, or not yet confirmed everywhere`

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
		),
	}
	return p.Run(ctx, os.Args[1:])
}
