package main

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"lacewinghook.example/lacewinghook/admin"
	"lacewinghook.example/lacewinghook/codes"
)

var orderCommands = commandsOf(
	spec{name: "orders list", help: "list the orders whose outcome is not known", flags: stateFlag, run: ordersList},
	spec{name: "orders settle", help: "keep your finding on the order KEY: ran or not_run", argument: "KEY", flags: outcomeFlag, run: ordersSettle},
)

func stateFlag(d *desk) {
	d.flags.StringVar(&d.state, "state", "unknown", "`state` of the orders listed; empty lists all")
}

func outcomeFlag(d *desk) {
	d.flags.StringVar(&d.outcome, "outcome", "", "what you found at the service: `ran or not_run`")
}

func ordersList(ctx context.Context, d *desk) int {
	all := []admin.Order{}
	for after := ""; ; {
		page, err := d.Orders(ctx, d.state, after)
		if err != nil {
			return d.fail(err)
		}
		all = append(all, page.Orders...)
		if after = page.Next; after == "" {
			break
		}
	}
	return d.show(all, func(w *tabwriter.Writer) {
		for _, o := range all {
			at := time.UnixMilli(int64(o.Opened)).UTC().Format(time.RFC3339)
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s %s\t%q\t%s\t%s\n",
				o.Key, o.State, o.Workspace, o.Service, o.Method, o.Path, o.Caller, at, o.Note)
		}
	})
}

func ordersSettle(ctx context.Context, d *desk) int {
	if d.outcome != string(codes.Ran) && d.outcome != string(codes.NotRun) {
		return d.call.Misused("flag -outcome: want ran or not_run")
	}
	o, err := d.Settle(ctx, d.argument(), d.outcome)
	if err != nil {
		return d.fail(err)
	}
	return d.say(o, "order %s is %s; it is never sent again", o.Key, o.State)
}
