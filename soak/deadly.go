package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/extsim"
)

// deadlyPart is the part of prompts that crashes engines.
const deadlyPart = "dead"

// Sizes of the step Deadly.
const (
	// maxBurst is the largest number of requests in a burst, and maxBursts that of bursts.
	maxBurst  = 6
	maxBursts = 4
	// crashInterval is the time between two looks for engines that have crashed.
	crashInterval clock.Millis = 5
)

// deadly sends bursts of requests with the deadly part to all entries, and replaces the
// engines that they crash.
func (g *rig) deadly(ctx context.Context, s Step, r *rand.Rand) {
	watchCtx, cancel := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() { g.replaceCrashed(watchCtx) })
	defer watch.Wait()
	defer cancel()
	var callers sync.WaitGroup
	for burst := range 1 + r.IntN(maxBursts) {
		for i := range 1 + r.IntN(maxBurst) {
			callers.Go(func() { g.sendDeadly(ctx, s, burst*maxBurst+i) })
		}
		_ = sleep(ctx, s.For)
	}
	callers.Wait()
	// An answer that is cut with its engine may be noticed a little later.
	_ = sleep(ctx, transitTime)
}

// engines returns the replicas that decode and are registered as ready.
func (g *rig) engines() []*replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []*replica
	for _, c := range g.ready {
		if c.sim.Phase == "decode" {
			all = append(all, c)
		}
	}
	return all
}

// replaceCrashed replaces the engines that crash, until ctx ends. Until then all of them, also
// the new ones, are recorded as out.
func (g *rig) replaceCrashed(ctx context.Context) {
	seen := make(map[*replica]bool)
	var rows sync.WaitGroup
	defer rows.Wait()
	for {
		for _, c := range g.engines() {
			if !seen[c] {
				seen[c] = true
				defer g.outage(Deadly, -1, c.n)()
			}
			if !c.sim.Stopped() {
				continue
			}
			g.retire(c)
			rows.Go(func() {
				_ = sleep(ctx, shortest)
				g.store.Remove(extsim.ReplicaTable, c.sim.ID)
			})
		}
		if sleep(ctx, crashInterval) != nil {
			return
		}
	}
}

// sendDeadly sends one request with the deadly part on a connection of its own.
func (g *rig) sendDeadly(ctx context.Context, s Step, n int) {
	e := g.entries[n%len(g.entries)]
	boot := e.currentBoot()
	conn, err := extsim.Dial(ctx, e.settings.Callers.Listen)
	if err != nil || boot != e.currentBoot() {
		// The entry is down.
		return
	}
	defer conn.Close()
	verse := shapeOf("verse")
	id := fmt.Sprintf("%08x%08x", uint32(s.Seed), n)
	q := Request{ID: id, Shape: verse.Name, Entry: e.n, Boot: boot, Target: verse.Prefix + id, Deadline: verse.Deadline}
	body := strings.Repeat(id, 2)
	q.Digest = extsim.BodyDigest(body)
	g.answered(&q, conn.Ask(context.WithoutCancel(ctx), extsim.Call{
		ID: id, Host: host, Path: q.Target, Body: body, Deadline: verse.Deadline.Duration(), Generates: true,
		Parts: deadlyPart + ":400,", Patience: (verse.Deadline + late).Duration(),
	}))
}

// change publishes a version around the instant at which an entry is stopped or told to
// read its settings again.
func (g *rig) change(ctx context.Context, e *entry, s Step, r *rand.Rand) {
	defer g.outage(Change, -1, -1)()
	offset := clock.Millis(r.IntN(500))
	hup := r.IntN(2) == 0
	g.steps.Go(func() {
		_ = sleep(ctx, clock.Millis(r.IntN(2))*offset)
		g.wakeCallers()
		if hup {
			g.signal(e, Hup, syscall.SIGHUP)
		} else {
			g.restart(ctx, e, s)
		}
	})
	g.publish(newRand(s.Seed, 5))
	_ = sleep(ctx, offset)
	g.publish(newRand(s.Seed, 6))
	g.wakeCallers()
}
