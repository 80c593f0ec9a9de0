package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"lacewinghook.example/lacewinghook/admin"
	"lacewinghook.example/lacewinghook/args"
)

// statusCommands show the state and the evidence of an entry.
var statusCommands = commandsOf(
	commandSpec{name: "status", help: "show the state of the entry, the other entries, and all drains", run: showStatus},
	commandSpec{name: "promises", help: "show each promise, its evidence and its violations", run: showPromises},
)

// showStatus prints the state of the entry and of the other entries.
func showStatus(ctx context.Context, c *command) int {
	s, err := c.Status(ctx)
	if err != nil {
		return c.fail(err)
	}
	return c.print(s, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "%s in %s is %s at version %d, violations seen: %d\n",
			s.Instance, s.Centre, s.State, s.Version, s.Violations)
		printInstances(w, s.Instances)
		for _, drain := range s.Drains {
			fmt.Fprintf(w, "drained:\t%s\t%s\tby %s\n", drain.Kind, drain.Name, drain.By)
		}
	})
}

// showPromises prints the promises with their evidence. It exits with a failure if
// the entry has detected a violation, so that it can be used as a check.
func showPromises(ctx context.Context, c *command) int {
	p, err := c.Promises(ctx)
	if err != nil {
		return c.fail(err)
	}
	status := c.print(p, func(w *tabwriter.Writer) {
		for _, promise := range p.Promises {
			printPromise(w, promise)
		}
	})
	for _, promise := range p.Promises {
		if promise.Violations.Count > 0 {
			return args.ExitFail
		}
	}
	return status
}

// printPromise writes one promise with its violations and counters.
func printPromise(w *tabwriter.Writer, p admin.Promise) {
	verdict := "no violation seen"
	if n := p.Violations.Count; n > 0 {
		verdict = fmt.Sprintf("VIOLATED %d times, last %s: %s", n, formatAge(p.Violations.LastAge), p.Violations.LastNote)
	}
	fmt.Fprintf(w, "%s: %s\n  %s\n  kept by: %s\n", p.Promise, verdict, p.Meaning, p.Mechanism)
	for _, c := range p.Counters {
		fmt.Fprintf(w, "  %s\t%g\n", c.Name, c.Value)
	}
}
