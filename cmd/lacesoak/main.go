// Lacesoak runs lacewinghook as several processes on loopback, injects faults from outside
// and checks the promises of the system. See docs/SOAK.md.
//
// # Usage
//
//	lacesoak -program ./lacewinghook -seed 1 -seeds 10 -jobs 3 -duration 20000 -entries 3
//	lacesoak -program ./lacewinghook -cases soak/testdata/cases.txt
//
// The second form plays the runs in a file, one a line: flags, a bar and a comment.
//
// Exit codes: 0 if all promises held, 1 if one was broken, 2 if it could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"golang.org/x/sync/errgroup"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/soak"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitError  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	status, err := run(ctx, os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "lacesoak:", err)
	}
	stop()
	os.Exit(status)
}

// run parses the flags and plays the seeds.
func run(ctx context.Context, args []string) (status int, err error) {
	fs := flag.NewFlagSet("lacesoak", flag.ContinueOnError)
	o := soak.Options{Log: func(format string, a ...any) { fmt.Fprintf(os.Stderr, format+"\n", a...) }}
	fs.StringVar(&o.Program, "program", "", "path of the program lacewinghook (required)")
	fs.StringVar(&o.Dir, "dir", filepath.Join(os.TempDir(), "lacesoak"), "directory for settings, logs and histories")
	fs.IntVar(&o.Entries, "entries", 3, "number of entries")
	fs.IntVar(&o.Replicas, "replicas", 12, "number of replicas, at least 4")
	fs.BoolVar(&o.Base, "base", false, "play each seed also without steps, and compare the sums")
	duration := fs.Int64("duration", 20000, "time of the faults and callers of a seed, in ms")
	only := fs.String("only", "", "kinds of steps, comma-separated; all if empty")
	seed := fs.Uint64("seed", 1, "first seed")
	seeds := fs.Int("seeds", 1, "number of seeds")
	jobs := fs.Int("jobs", 1, "number of seeds to play at the same time")
	file := fs.String("json", "", "file for the results")
	cases := fs.String("cases", "", "file of runs to play; of the other flags only -program and -dir have an effect")
	if err := fs.Parse(args); err != nil {
		return exitError, nil // Parse has printed the error.
	}
	o.Duration = clock.Millis(*duration)
	if err := check(&o, fs, *only); err != nil {
		return exitError, err
	}
	if *cases != "" {
		return runCases(ctx, *cases, o)
	}
	results := make([]*soak.Result, *seeds)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, *jobs))
	for n := range results {
		g.Go(func() (err error) {
			results[n], err = soak.Run(ctx, o, *seed+uint64(n))
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return exitError, err
	}
	for _, r := range results {
		if len(r.Findings) > 0 {
			status = exitBroken
		}
	}
	if err := soak.WriteTable(os.Stdout, results); err != nil {
		return exitError, err
	}
	if *file != "" {
		if err := soak.WriteJSON(*file, results); err != nil {
			return exitError, err
		}
	}
	return status, nil
}

// runCases plays the runs in a file. The status is the largest of all.
func runCases(ctx context.Context, file string, o soak.Options) (status int, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return exitError, err
	}
	for line := range strings.Lines(string(data)) {
		flags, comment, ok := strings.Cut(line, "|")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		fmt.Printf("%s:%s", strings.TrimSpace(flags), comment)
		s, err := run(ctx, append([]string{"-program", o.Program, "-dir", o.Dir}, strings.Fields(flags)...))
		if err != nil {
			return s, err
		}
		status = max(status, s)
	}
	return status, nil
}

// minDuration leaves time for some steps beside the calm time at the end.
const minDuration = 10 * clock.Second

// check checks the options and sets Only.
func check(o *soak.Options, fs *flag.FlagSet, only string) error {
	switch {
	case fs.NArg() > 0:
		return fmt.Errorf("unexpected argument %q", fs.Arg(0))
	case o.Program == "":
		return fmt.Errorf("flag -program: missing")
	case o.Entries < 1 || o.Replicas < 4:
		return fmt.Errorf("flags -entries, -replicas: want at least 1 and 4")
	case o.Duration < minDuration:
		return fmt.Errorf("flag -duration: want at least %d", minDuration)
	}
	if _, err := os.Stat(o.Program); err != nil {
		return fmt.Errorf("flag -program: %w", err)
	}
	if only == "" {
		return nil
	}
	for name := range strings.SplitSeq(only, ",") {
		k := soak.Kind(name)
		if !slices.Contains(soak.Planned, k) && !slices.Contains(soak.Failures, k) {
			return fmt.Errorf("flag -only: unknown kind %q; known are %v and %v", name, soak.Planned, soak.Failures)
		}
		o.Only = append(o.Only, k)
	}
	return nil
}
