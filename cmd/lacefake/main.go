// Lacefake runs fakes of the platform and of the upstreams, for tests and trial
// runs.
//
// # Usage
//
//	lacefake try                     run everything in one process, once
//	lacefake platform -config F      run a fake platform: table, objects, list
//	lacefake engine -listen A ...    run a fake model engine
//	lacefake service -listen A ...   run a fake plain service
//	lacefake load -config F          run an open-loop load plan for each policy
//	lacefake cost                    measure the time that an entry adds
//	lacefake slope -entries 3,9,27   measure the cost of idle entries
//	lacefake files -dir D            write the settings of a trial run
//	lacefake ask -entry A -kind K    make one call and check the answer
//
// Exit codes: 0 for success, 1 for a failure, 2 for an invalid command line.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"lacewinghook.example/lacewinghook/args"
)

// The exit codes.
const (
	exitOK    = args.ExitOK
	exitFail  = args.ExitFail
	exitUsage = args.ExitUsage
)

// command is a subcommand. The context passed to run is canceled by the first
// stop signal.
type command struct {
	name string
	help string
	run  func(ctx context.Context, args []string) int
}

// commands lists the subcommands in the order of the help text.
var commands = []command{
	{"try", "run everything in one process, once", runTry},
	{"platform", "run a fake platform", runPlatform},
	{"engine", "run a fake model engine", runEngine},
	{"service", "run a fake plain service", runService},
	{"load", "run a load plan with each of its policies", runLoad},
	{"cost", "measure the time that an entry adds to a request", runCost},
	{"slope", "measure the cost of idle entries for several numbers of entries", runSlope},
	{"files", "write the settings of a trial run of separate processes", runFiles},
	{"ask", "make one call to an entry and check the answer", runAsk},
}

func main() {
	os.Exit(run())
}

// run executes the command line and returns the exit code.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p := args.Program{
		Name:  "lacefake",
		Help:  "Fakes of the platform and of the upstreams, for tests and trial runs.",
		Notes: "Exit codes: 0 for success, 1 for a failure, 2 for an invalid command line.",
	}
	for _, c := range commands {
		p.Commands = append(p.Commands, args.Command{Name: c.name, Help: c.help, Run: c.call})
	}
	return p.Run(ctx, os.Args[1:])
}

// call adapts run to [args.Command].
func (c command) call(ctx context.Context, call *args.Call) int {
	return c.run(ctx, call.Args)
}

// parseFlags parses the flags of a subcommand. If ok is false, the subcommand must
// exit with status.
func parseFlags(fs *flag.FlagSet, argv []string) (status int, ok bool) {
	c := &args.Call{Name: fs.Name(), Args: argv, Out: os.Stdout, Err: os.Stderr}
	fs.Usage = nil
	return c.Parse(fs, 0)
}

// serveHTTP serves HTTP on addr until ctx is canceled.
func serveHTTP(ctx context.Context, addr string, h http.Handler) int {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lacefake:", err)
		return exitFail
	}
	srv := &http.Server{Handler: h}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	if err := srv.Serve(ln); err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, "lacefake:", err)
		return exitFail
	}
	return exitOK
}
