package main

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"
)

var quarantineCommands = commandsOf(
	spec{name: "quarantine list", help: "list the requests that are refused since they crashed upstreams", run: quarantineList},
	spec{name: "quarantine lift", help: "let the request DIGEST run again", argument: "DIGEST", run: quarantineLift},
)

func quarantineList(ctx context.Context, d *desk) int {
	all, err := d.Quarantine(ctx)
	if err != nil {
		return d.fail(err)
	}
	return d.show(all, func(w *tabwriter.Writer) {
		for _, s := range all {
			until := time.UnixMilli(int64(s.Until)).UTC().Format(time.RFC3339)
			fmt.Fprintf(w, "%s\tuntil %s\t%v\n", s.Digest, until, s.Upstreams)
		}
	})
}

func quarantineLift(ctx context.Context, d *desk) int {
	digest := d.argument()
	if err := d.Lift(ctx, digest); err != nil {
		return d.fail(err)
	}
	return d.say(map[string]string{"lifted": digest}, "request %s may run again", digest)
}
