package main

import (
	"context"
	"fmt"
	"text/tabwriter"
)

// fleetCommands show what an entry on the users' platform has learned from upstreams.
var fleetCommands = commandsOf(
	commandSpec{name: "fleet parts", help: "list the parts of prompts that may crash upstreams, with the evidence", addFlags: addMetricsFlag, run: listParts},
	commandSpec{name: "fleet replicas", help: "list the replicas that leave, want a pause or were replaced", addFlags: addMetricsFlag, run: listNotices},
)

// addMetricsFlag adds the flag for the address, which needs no token.
func addMetricsFlag(c *command) {
	c.flags.StringVar(&c.Base, "metrics", "http://127.0.0.1:9464", "`URL` of the metrics listener of an entry")
	c.open = true
}

// listParts prints the suspected parts and requests, and the crashes below each.
func listParts(ctx context.Context, c *command) int {
	all, err := c.Parts(ctx)
	if err != nil {
		return c.fail(err)
	}
	return c.print(all, func(w *tabwriter.Writer) {
		for _, v := range all {
			state := "suspected"
			switch {
			case v.Quarantined:
				state = "quarantined"
			case v.Trial:
				state = "on trial"
			case len(v.Crashes) == 0:
				state = "cleared"
			}
			if v.Whole {
				state = "request " + state
			}
			fmt.Fprintf(w, "%s\t%s\tfor %s\n", v.Part, state, v.Left.Duration())
			for _, crash := range v.Crashes {
				fmt.Fprintf(w, "  round %d\t%s\tlost by %s\trequest %s\twith %v\t%s ago\n",
					crash.Round, crash.Upstream, crash.Entry, crash.Request, crash.With, crash.Age.Duration())
			}
		}
	})
}

// listNotices prints the replicas that are barred or used as the last choice.
func listNotices(ctx context.Context, c *command) int {
	all, err := c.Notices(ctx)
	if err != nil {
		return c.fail(err)
	}
	return c.print(all, func(w *tabwriter.Writer) {
		for _, v := range all {
			use := "last choice"
			if v.Barred {
				use = "gets nothing"
			}
			fmt.Fprintf(w, "%s\t%s", v.Replica, use)
			if v.Leaving {
				fmt.Fprintf(w, "\tleaves or was replaced, by %s %s ago", v.Source, v.Age.Duration())
			}
			if v.PauseLeft > 0 {
				fmt.Fprintf(w, "\tpaused for %s", v.PauseLeft.Duration())
			}
			fmt.Fprintln(w)
		}
	})
}
