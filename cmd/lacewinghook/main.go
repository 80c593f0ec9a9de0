// Lacewinghook is one entry instance of the router.
//
// # Usage
//
//	lacewinghook serve -config F    serve callers until SIGTERM or SIGINT
//	lacewinghook check -config F    check settings and print every fault
//	lacewinghook version            print the version
//
// Exit codes: 0 for success, 1 for a failure, 2 for a wrong command line.
package main

import (
	"fmt"
	"os"
)

// The exit codes.
const (
	exitOK    = 0
	exitFail  = 1
	exitUsage = 2
)

// command is a subcommand.
type command struct {
	name string
	help string
	run  func(args []string) int
}

var commands = []command{
	{"serve", "serve callers until SIGTERM or SIGINT", serve},
	{"check", "check settings and print every fault", check},
	{"version", "print the version", version},
}

func main() {
	os.Exit(dispatch(os.Args[1:]))
}

func dispatch(args []string) int {
	if len(args) == 0 {
		usage(os.Stderr)
		return exitUsage
	}
	for _, c := range commands {
		if c.name == args[0] {
			return c.run(args[1:])
		}
	}
	if args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		usage(os.Stdout)
		return exitOK
	}
	fmt.Fprintf(os.Stderr, "lacewinghook: unknown command %q\n", args[0])
	return exitUsage
}

func usage(w *os.File) {
	fmt.Fprintln(w, "usage: lacewinghook COMMAND [flags]")
	for _, c := range commands {
		fmt.Fprintf(w, "  %-9s %s\n", c.name, c.help)
	}
}
