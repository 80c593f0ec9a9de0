// Stand2 runs one case of the second review: it starts entries as processes beside
// stand-ins, plays the case and judges what the clients and the replicas have seen.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// play plays a case. With trouble unset it does so without the disruption. It reports
// whether the rule was broken.
type play func(ctx context.Context, g *rig, trouble bool) (broken bool, err error)

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "the `name` of the case")
	program := flag.String("program", "target/lacewinghook", "the `program` of the entries")
	out := flag.String("out", ".", "the `folder` of the record")
	flag.Parse()
	f, ok := map[string]play{"request": poisonRequest, "long": longPrompt, "heads": longHeads}[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return 2
	}
	g, err := newRig(*program, *out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer g.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	defer cancel()
	broken, err := f(ctx, g, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		g.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		g.note("the rule was broken")
		return 1
	}
	g.note("the rule held")
	return 0
}
