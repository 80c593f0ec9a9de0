package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/extsim"
)

// Options configures a soak. Program is required.
type Options struct {
	// Program is the path of the program lacewinghook, Dir the directory for settings,
	// logs and histories.
	Program, Dir string
	// Duration is that of the steps; a run takes some seconds longer.
	Duration clock.Millis
	// Entries and Replicas are their numbers at the start; at least one and four.
	Entries, Replicas int
	// Base has each seed also played without steps, to which the sums are compared.
	Base bool
	// Only, if not empty, lists the kinds of steps.
	Only []Kind
	// Log receives one line for each finding as it is seen.
	Log func(format string, a ...any)
}

// Run plays the plan of one seed and checks what callers and replicas saw. An error means
// that it could not run.
func Run(ctx context.Context, o Options, seed uint64) (*Result, error) {
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(dir); err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	steps := newPlan(o, seed)
	h, err := playSteps(ctx, o, dir, steps, seed)
	if err != nil {
		return nil, err
	}
	var base *History
	if o.Base {
		if base, err = playSteps(ctx, o, filepath.Join(dir, "base"), nil, seed); err != nil {
			return nil, err
		}
	}
	res := newResult(o, seed, steps, h, base)
	if err := writeJSON(filepath.Join(dir, "result.json"), res); err != nil {
		return nil, err
	}
	o.Log("seed %d: %d requests, %d findings", seed, res.Requests, len(res.Findings))
	if len(res.Findings) > 0 {
		if err := writeJSON(filepath.Join(dir, "history.json"), h); err != nil {
			return nil, err
		}
		if base != nil {
			if err := writeJSON(filepath.Join(dir, "base", "history.json"), base); err != nil {
				return nil, err
			}
		}
	}
	return res, nil
}

// playSteps starts everything, plays the steps and returns what was seen.
func playSteps(ctx context.Context, o Options, dir string, steps []Step, seed uint64) (*History, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	g, err := newRig(ctx, o, dir, o.Program, seed)
	defer g.close()
	if err != nil {
		return nil, err
	}
	g.soak(ctx, steps, seed)
	g.stopAll()
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	g.collect()
	return &g.h, nil
}

// settleTime is how long replicas' work is watched after the last caller has left.
const settleTime = 2 * clock.Second

// soak runs callers and steps, and then callers alone.
func (g *rig) soak(ctx context.Context, steps []Step, seed uint64) {
	callCtx, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	g.wait.Go(func() { g.watchStalls(callCtx) })
	for n := range min(callersPerEntry*len(g.entries), maxCallers) {
		c := &caller{g: g, n: n, seed: seed, r: newRand(seed, 1000+uint64(n))}
		callers.Go(func() { c.run(callCtx) })
	}
	for n := range min(keepersPerEntry*len(g.entries), maxKeepers) {
		c := &caller{g: g, n: maxCallers + n, seed: seed, r: newRand(seed, 1000+maxCallers+uint64(n))}
		callers.Go(func() { c.keepOpen(callCtx, g.entries[n%len(g.entries)]) })
	}
	g.play(ctx, steps)
	// Callers go on until the end of the time, also if the plan is empty.
	_ = sleep(ctx, g.o.Duration-calmDown-g.now())
	g.awaitCalm(ctx)
	g.h.CalmFrom = g.now()
	_ = sleep(ctx, calmDown)
	stop()
	callers.Wait()
	_ = sleep(ctx, settleTime)
	g.h.End = g.now()
}

// awaitCalm waits until all entries are ready again.
func (g *rig) awaitCalm(ctx context.Context) {
	for _, e := range g.entries {
		// The checks report an entry that is missing.
		_ = g.awaitReady(ctx, e)
	}
}

// stopAll stops all entries as planned.
func (g *rig) stopAll() {
	g.endRun()
	var wait sync.WaitGroup
	for _, e := range g.entries {
		wait.Go(func() {
			proc := g.signal(e, Term, syscall.SIGTERM)
			if proc == nil {
				return
			}
			select {
			case <-proc.Done():
			case <-time.After((grace + clock.Second).Duration()):
				g.signal(e, Kill, syscall.SIGKILL)
				<-proc.Done()
			}
		})
	}
	wait.Wait()
	g.wait.Wait()
}

// collect adds what the replicas saw to the history.
func (g *rig) collect() {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sims []*extsim.Replica
	for _, r := range g.replicas {
		g.addRuns(r.n, r.sim, r.left)
		sims = append(sims, r.sim)
	}
	at := func(m clock.Millis) time.Time { return g.start.Add(m.Duration()) }
	for _, o := range extsim.Outstanding(sims, at(g.h.CalmFrom), at(g.h.End)) {
		g.h.Outstanding = append(g.h.Outstanding, Grant{Name: o.Name, ID: o.ID, At: g.since(o.At)})
	}
}
