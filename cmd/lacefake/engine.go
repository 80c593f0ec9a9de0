package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/fake"
)

// runEngine runs a fake model engine.
func runEngine(ctx context.Context, args []string) int {
	fs := flag.NewFlagSet("lacefake engine", flag.ContinueOnError)
	e := &fake.Engine{}
	addr := fs.String("listen", "", "IP address and port")
	role := fs.String("role", string(core.Decode), "prefill or decode")
	step := fs.Int64("step", 0, "time of one decode step in ms")
	lag := fs.Int64("lag", 0, "age of the reported load in ms")
	fs.StringVar(&e.Name, "name", "engine", "name of the engine")
	fs.IntVar(&e.Pieces, "pieces", 0, "memory in pieces")
	fs.IntVar(&e.Speed.PrefillRate, "prefill", 0, "prompt tokens prefilled per ms")
	fs.Int64Var(&e.Speed.LinkRate, "rate", 0, "bandwidth of the link in bytes per ms, 0 for no limit")
	fs.BoolVar(&e.CheckFence, "fences", false, "reject orders with an outdated fencing number")
	if status, ok := parseFlags(fs, args); !ok {
		return status
	}
	e.Role = core.Role(*role)
	e.Speed.StepTime = clock.Millis(*step)
	e.ReportLag = clock.Millis(*lag)
	ln, err := net.Listen("tcp", *addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lacefake:", err)
		return exitFail
	}
	go e.Run(ctx)
	if err := e.Serve(ctx, ln); err != nil {
		fmt.Fprintln(os.Stderr, "lacefake:", err)
		return exitFail
	}
	return exitOK
}
