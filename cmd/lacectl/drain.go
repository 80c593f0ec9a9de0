package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"lacewinghook.example/lacewinghook/admin"
	"lacewinghook.example/lacewinghook/args"
	"lacewinghook.example/lacewinghook/clock"
)

// drainCommands returns the commands list, drain and undrain for one kind of
// target.
func drainCommands(kind admin.DrainKind, target string, list func(context.Context, *command) int) []args.Command {
	name := string(kind)
	return commandsOf(
		commandSpec{name: name + " list", help: "list all with their state as seen by the entry", run: list},
		commandSpec{name: name + " drain", help: "stop new work for " + target, argument: "NAME", run: func(ctx context.Context, c *command) int {
			return c.reportDrain(kind, "drained", c.Drain(ctx, kind, c.argument()))
		}},
		commandSpec{name: name + " undrain", help: "remove the drain of " + target, argument: "NAME", run: func(ctx context.Context, c *command) int {
			return c.reportDrain(kind, "undrained", c.Undrain(ctx, kind, c.argument()))
		}},
	)
}

// drainResult is the output for a drain that was added or removed.
type drainResult struct {
	Kind  admin.DrainKind `json:"kind"`
	Name  string          `json:"name"`
	State string          `json:"state"`
}

// reportDrain prints the new state of the drain, or the error.
func (c *command) reportDrain(kind admin.DrainKind, state string, err error) int {
	if err != nil {
		return c.fail(err)
	}
	name := c.argument()
	return c.printLine(drainResult{kind, name, state}, "%s %s is %s; in force everywhere within 3 s", kind, name, state)
}

// listUpstreams prints a table of the upstreams.
func listUpstreams(ctx context.Context, c *command) int {
	all, err := c.Upstreams(ctx)
	if err != nil {
		return c.fail(err)
	}
	return c.print(all, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "NAME\tROLE\tCENTRE\tDRAINED\tOWN\tRUNNING\tWAITING\tFREE\tREPORT")
		for _, u := range all {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d\t%d\t%d/%d\t%s\n", u.Name, u.Role, u.Centre,
				u.Drained, u.OwnRequests, u.Running, u.Waiting, u.FreePieces, u.Pieces, formatAge(u.ReportAge))
		}
	})
}

// listInstances prints a table of the entry instances.
func listInstances(ctx context.Context, c *command) int {
	all, err := c.Instances(ctx)
	if err != nil {
		return c.fail(err)
	}
	return c.print(all, func(w *tabwriter.Writer) { printInstances(w, all) })
}

// printInstances writes the table of entry instances.
func printInstances(w *tabwriter.Writer, all []admin.Instance) {
	fmt.Fprintln(w, "NAME\tCENTRE\tADDRESS\tSTATE\tDRAINED\tVERSION\tLOAD\tHEARD")
	for _, instance := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%d\t%d\t%s\n", instance.Name, instance.Centre, instance.Addr, instance.State,
			instance.Drained, instance.Version, instance.Load, formatAge(instance.HeartbeatAge))
	}
}

// listCentres prints a table of the data centres.
func listCentres(ctx context.Context, c *command) int {
	all, err := c.Centres(ctx)
	if err != nil {
		return c.fail(err)
	}
	return c.print(all, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "NAME\tINSTANCES\tUPSTREAMS\tDRAINED")
		for _, centre := range all {
			fmt.Fprintf(w, "%s\t%d\t%d\t%v\n", centre.Name, centre.Instances, centre.Upstreams, centre.Drained)
		}
	})
}

// formatAge formats the age of a report or heartbeat; negative means none.
func formatAge(d clock.Millis) string {
	if d < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", d)
}
