package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"lacewinghook.example/lacewinghook/admin"
	"lacewinghook.example/lacewinghook/args"
	"lacewinghook.example/lacewinghook/clock"
)

// drainCommands returns the commands of one kind of thing that can be drained.
func drainCommands(kind admin.Kind, what string, list func(context.Context, *command) int) []args.Command {
	name := string(kind)
	return commandsOf(
		commandSpec{name: name + " list", help: "list them as the asked entry sees them", run: list},
		commandSpec{name: name + " drain", help: "keep new work from " + what, argument: "NAME", run: func(ctx context.Context, c *command) int {
			return c.reportDrain(kind, "drained", c.Drain(ctx, kind, c.argument()))
		}},
		commandSpec{name: name + " undrain", help: "lift the drain of " + what, argument: "NAME", run: func(ctx context.Context, c *command) int {
			return c.reportDrain(kind, "undrained", c.Undrain(ctx, kind, c.argument()))
		}},
	)
}

// drainResult tells of a drain that was set or lifted.
type drainResult struct {
	Kind  admin.Kind `json:"kind"`
	Name  string     `json:"name"`
	State string     `json:"state"`
}

func (c *command) reportDrain(kind admin.Kind, state string, err error) int {
	if err != nil {
		return c.fail(err)
	}
	name := c.argument()
	return c.printLine(drainResult{kind, name, state}, "%s %s is %s; in force everywhere within 3 s", kind, name, state)
}

func listUpstreams(ctx context.Context, c *command) int {
	all, err := c.Upstreams(ctx)
	if err != nil {
		return c.fail(err)
	}
	return c.print(all, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "NAME\tROLE\tCENTRE\tDRAINED\tOWN\tRUNNING\tWAITING\tFREE\tREPORT")
		for _, u := range all {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d\t%d\t%d/%d\t%s\n", u.Name, u.Role, u.Centre,
				u.Drained, u.Own, u.Running, u.Waiting, u.FreePieces, u.Pieces, formatAge(u.Age))
		}
	})
}

func listInstances(ctx context.Context, c *command) int {
	all, err := c.Instances(ctx)
	if err != nil {
		return c.fail(err)
	}
	return c.print(all, func(w *tabwriter.Writer) { printInstances(w, all) })
}

func printInstances(w *tabwriter.Writer, all []admin.Instance) {
	fmt.Fprintln(w, "NAME\tCENTRE\tADDRESS\tSTATE\tDRAINED\tVERSION\tLOAD\tHEARD")
	for _, in := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%d\t%d\t%s\n", in.Name, in.Centre, in.Addr, in.State,
			in.Drained, in.Version, in.Load, formatAge(in.HeartbeatAge))
	}
}

func listCentres(ctx context.Context, c *command) int {
	all, err := c.Centres(ctx)
	if err != nil {
		return c.fail(err)
	}
	return c.print(all, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "NAME\tINSTANCES\tUPSTREAMS\tDRAINED")
		for _, ce := range all {
			fmt.Fprintf(w, "%s\t%d\t%d\t%v\n", ce.Name, ce.Instances, ce.Upstreams, ce.Drained)
		}
	})
}

// formatAge prints the age of a reading; a negative one stands for none.
func formatAge(d clock.Millis) string {
	if d < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", d)
}
