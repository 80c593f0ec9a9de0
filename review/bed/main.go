// Bed plays one case of the review: it starts entries as processes of their own, with
// stand-ins of the platform's store, the replicas and the callers in this process, all on
// loopback addresses.
//
// # Usage
//
//	target/bed -case parts -program target/lacewinghook -dir review/1
//
// It writes record.txt into the folder dir. It exits with 0 if the rule held, 1 if it was
// broken and 2 if the case couldn't run. With TROUBLE=0 in the environment the disruption
// is left out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// scenario plays a case. It returns whether the rule was broken, or an error if the case
// couldn't run.
type scenario func(b *bed) (broken bool, err error)

var scenarios = map[string]scenario{
	"parts":  playParts,
	"lookup": playLookup,
	"blame":  playBlame,
	"poison": playPoison,
	"stop":   playStop,
}

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// maxTime is how long a case may take.
const maxTime = 117 * time.Second

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "`name` of the case")
	program := flag.String("program", "target/lacewinghook", "`path` of the entry program")
	dir := flag.String("dir", ".", "`folder` for record.txt")
	flag.Parse()
	play, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	b, err := newBed(*program, filepath.Join(*dir, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxTime):
		}
		b.log("result: not run: stopped before its end")
		b.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(b)
	switch {
	case err != nil:
		b.log("result: not run: %v", err)
		return exitNotRun
	case broken:
		b.log("result: the rule was broken")
		return exitBroken
	}
	b.log("result: the rule held")
	return exitHeld
}
