package main

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"lacewinghook.example/lacewinghook/admin"
	"lacewinghook.example/lacewinghook/codes"
)

// orderCommands list and settle orders with an unknown outcome.
var orderCommands = commandsOf(
	commandSpec{name: "orders list", help: "list the orders with an unknown outcome", addFlags: stateFlag, run: listOrders},
	commandSpec{name: "orders settle", help: "record the outcome of the order KEY: ran or not_run", argument: "KEY", addFlags: outcomeFlag, run: settleOrder},
)

// stateFlag adds the flag -state.
func stateFlag(c *command) {
	c.flags.StringVar(&c.state, "state", "unknown", "`state` of the orders to list; empty lists all")
}

// outcomeFlag adds the flag -outcome.
func outcomeFlag(c *command) {
	c.flags.StringVar(&c.outcome, "outcome", "", "outcome as found at the service: `ran or not_run`")
}

// listOrders prints the orders of all pages.
func listOrders(ctx context.Context, c *command) int {
	all := []admin.Order{}
	for after := ""; ; {
		page, err := c.Orders(ctx, c.state, after)
		if err != nil {
			return c.fail(err)
		}
		all = append(all, page.Orders...)
		if after = page.Next; after == "" {
			break
		}
	}
	return c.print(all, func(w *tabwriter.Writer) {
		for _, o := range all {
			at := time.UnixMilli(int64(o.OpenedAt)).UTC().Format(time.RFC3339)
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s %s\t%q\t%s\t%s\n",
				o.Key, o.State, o.Workspace, o.Service, o.Method, o.Path, o.IdempotencyKey, at, o.Note)
		}
	})
}

// settleOrder records the outcome of an order.
func settleOrder(ctx context.Context, c *command) int {
	if c.outcome != string(codes.Ran) && c.outcome != string(codes.NotRun) {
		return c.call.UsageError("flag -outcome: want ran or not_run")
	}
	o, err := c.Settle(ctx, c.argument(), c.outcome)
	if err != nil {
		return c.fail(err)
	}
	return c.printLine(o, "order %s is %s; it is never sent again", o.Key, o.State)
}
