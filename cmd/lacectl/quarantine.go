package main

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"
)

// quarantineCommands list and release quarantined requests.
var quarantineCommands = commandsOf(
	commandSpec{name: "quarantine list", help: "list the requests that are rejected because they crashed upstreams", run: listQuarantine},
	commandSpec{name: "quarantine lift", help: "release the request DIGEST from quarantine", argument: "DIGEST", run: liftQuarantine},
)

// listQuarantine prints the quarantined requests.
func listQuarantine(ctx context.Context, c *command) int {
	all, err := c.Quarantine(ctx)
	if err != nil {
		return c.fail(err)
	}
	return c.print(all, func(w *tabwriter.Writer) {
		for _, s := range all {
			until := time.UnixMilli(int64(s.Until)).UTC().Format(time.RFC3339)
			fmt.Fprintf(w, "%s\tuntil %s\t%v\n", s.Digest, until, s.Upstreams)
		}
	})
}

// liftQuarantine releases a request from quarantine.
func liftQuarantine(ctx context.Context, c *command) int {
	digest := c.argument()
	if err := c.Lift(ctx, digest); err != nil {
		return c.fail(err)
	}
	return c.printLine(map[string]string{"lifted": digest}, "request %s may run again", digest)
}
