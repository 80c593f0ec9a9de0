package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"lacewinghook.example/lacewinghook/admin"
	"lacewinghook.example/lacewinghook/args"
	"lacewinghook.example/lacewinghook/clock"
)

// placeCommands returns the commands of one kind of thing that can be drained.
func placeCommands(kind admin.Kind, what string, list func(context.Context, *desk) int) []args.Command {
	name := string(kind)
	return commandsOf(
		spec{name: name + " list", help: "list them as the asked entry sees them", run: list},
		spec{name: name + " drain", help: "keep new work from " + what, argument: "NAME", run: func(ctx context.Context, d *desk) int {
			return d.changed(kind, "drained", d.Drain(ctx, kind, d.argument()))
		}},
		spec{name: name + " undrain", help: "lift the drain of " + what, argument: "NAME", run: func(ctx context.Context, d *desk) int {
			return d.changed(kind, "undrained", d.Undrain(ctx, kind, d.argument()))
		}},
	)
}

// drained tells of a drain that was set or lifted.
type drained struct {
	Kind  admin.Kind `json:"kind"`
	Name  string     `json:"name"`
	State string     `json:"state"`
}

func (d *desk) changed(kind admin.Kind, state string, err error) int {
	if err != nil {
		return d.fail(err)
	}
	name := d.argument()
	return d.say(drained{kind, name, state}, "%s %s is %s; in force everywhere within 3 s", kind, name, state)
}

func listUpstreams(ctx context.Context, d *desk) int {
	all, err := d.Upstreams(ctx)
	if err != nil {
		return d.fail(err)
	}
	return d.show(all, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "NAME\tROLE\tCENTRE\tDRAINED\tOWN\tRUNNING\tWAITING\tFREE\tREPORT")
		for _, u := range all {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d\t%d\t%d/%d\t%s\n", u.Name, u.Role, u.Centre,
				u.Drained, u.Own, u.Running, u.Waiting, u.Free, u.Pieces, age(u.Age))
		}
	})
}

func listInstances(ctx context.Context, d *desk) int {
	all, err := d.Instances(ctx)
	if err != nil {
		return d.fail(err)
	}
	return d.show(all, func(w *tabwriter.Writer) { printInstances(w, all) })
}

func printInstances(w *tabwriter.Writer, all []admin.Instance) {
	fmt.Fprintln(w, "NAME\tCENTRE\tADDRESS\tSTATE\tDRAINED\tVERSION\tLOAD\tHEARD")
	for _, in := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%d\t%d\t%s\n", in.Name, in.Centre, in.Addr, in.State,
			in.Drained, in.Version, in.Load, age(in.Heard))
	}
}

func listCentres(ctx context.Context, d *desk) int {
	all, err := d.Centres(ctx)
	if err != nil {
		return d.fail(err)
	}
	return d.show(all, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "NAME\tINSTANCES\tUPSTREAMS\tDRAINED")
		for _, ce := range all {
			fmt.Fprintf(w, "%s\t%d\t%d\t%v\n", ce.Name, ce.Instances, ce.Upstreams, ce.Drained)
		}
	})
}

// age prints the age of a reading; a negative one stands for none.
func age(d clock.Millis) string {
	if d < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", d)
}
