package main

import (
	"context"
	"flag"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/fake"
)

// runService runs a fake plain service.
func runService(ctx context.Context, args []string) int {
	fs := flag.NewFlagSet("lacefake service", flag.ContinueOnError)
	s := &fake.PlainService{}
	addr := fs.String("listen", "", "IP address and port")
	work := fs.Int64("work", 0, "duration of one call in ms")
	fs.StringVar(&s.Name, "name", "service", "name of the service")
	if status, ok := parseFlags(fs, args); !ok {
		return status
	}
	s.CallDuration = clock.Millis(*work)
	return serveHTTP(ctx, *addr, s.Handler())
}
