// Lacefake runs small stand-ins of the platform and of the upstreams, for
// tests and trial runs.
//
// # Usage
//
//	lacefake try                     run everything in one process, once
//	lacefake platform -config F      the platform's table, objects and list
//	lacefake engine -listen A ...    a model engine
//	lacefake service -listen A ...   a plain service
//	lacefake load -config F          open-loop load, a row for each policy
//	lacefake cost                    the time that an entry adds to a request
//	lacefake slope -entries 3,9,27   what idle entries cost at several sizes
//	lacefake files -dir D            settings for a trial run of processes
//	lacefake ask -entry A -kind K    make one call and check its answer
//
// Exit codes: 0 for success, 1 for a failure, 2 for a wrong command line.
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

// command is a subcommand. Its run gets a context that ends with the first
// stop signal.
type command struct {
	name string
	help string
	run  func(ctx context.Context, args []string) int
}

var commands = []command{
	{"try", "run everything in one process, once", runTry},
	{"platform", "run a stand-in platform", runPlatform},
	{"engine", "run a stand-in model engine", runEngine},
	{"service", "run a stand-in plain service", runService},
	{"load", "meet a plan's load with each of its policies", runLoad},
	{"cost", "measure the time that an entry adds to a request", runCost},
	{"slope", "measure what idle entries cost at several sizes", runSlope},
	{"files", "write the settings of a trial run of processes", runFiles},
	{"ask", "make one call of an entry and check its answer", runAsk},
}

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p := args.Program{
		Name:  "lacefake",
		Help:  "Stand-ins of the platform and of the upstreams, for tests and trial runs.",
		Notes: "Exit codes: 0 for success, 1 for a failure, 2 for a wrong command line.",
	}
	for _, c := range commands {
		p.Commands = append(p.Commands, args.Command{Name: c.name, Help: c.help, Run: c.call})
	}
	return p.Run(ctx, os.Args[1:])
}

// call implements [args.Command].
func (c command) call(ctx context.Context, call *args.Call) int {
	return c.run(ctx, call.Args)
}

// parse parses a subcommand's flags; ok is false if it must end with status.
func parse(fs *flag.FlagSet, argv []string) (status int, ok bool) {
	c := &args.Call{Name: fs.Name(), Args: argv, Out: os.Stdout, Err: os.Stderr}
	fs.Usage = nil
	return c.Parse(fs, 0)
}

// listen answers on addr until ctx ends.
func listen(ctx context.Context, addr string, h http.Handler) int {
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
