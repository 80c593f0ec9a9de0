package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"lacewinghook.example/lacewinghook/args"
)

// runVersion prints the version of the module and of Go.
func runVersion(_ context.Context, c *args.Call) int {
	if status, ok := c.Parse(c.Flags(""), 0); !ok {
		return status
	}
	v := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		v = info.Main.Version + " " + info.GoVersion
	}
	fmt.Fprintln(c.Out, "lacewinghook", v)
	return args.ExitOK
}
