package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	price "lacewinghook.example/lacewinghook/cost"
)

// runCost measures the time that an entry adds to a request.
func runCost(ctx context.Context, args []string) int {
	if status, ok := parseFlags(flag.NewFlagSet("lacefake cost", flag.ContinueOnError), args); !ok {
		return status
	}
	c, err := price.Measure(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lacefake cost:", err)
		return exitFail
	}
	c.Text(os.Stdout)
	return exitOK
}

// runSlope measures the cost of idle entries for several numbers of entries.
func runSlope(ctx context.Context, args []string) int {
	fs := flag.NewFlagSet("lacefake slope", flag.ContinueOnError)
	sizes := fs.String("entries", "3,9,27", "numbers of entries")
	upstreams := fs.Int("upstreams", 16, "number of engines")
	if status, ok := parseFlags(fs, args); !ok {
		return status
	}
	var slopes []*price.IdleCost
	for _, text := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			fmt.Fprintf(os.Stderr, "lacefake slope: flag -entries: %q is not a number of entries\n", text)
			return exitUsage
		}
		s, err := price.MeasureIdle(ctx, n, *upstreams)
		if err != nil {
			fmt.Fprintln(os.Stderr, "lacefake slope:", err)
			return exitFail
		}
		slopes = append(slopes, s)
	}
	price.WriteIdleTable(os.Stdout, slopes)
	return exitOK
}
