package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/extsim"
	"lacewinghook.example/lacewinghook/proxy"
)

// The load and the disruptions: two of the twelve replicas are slow, and five of the eight
// that decode lose the answers of a part of the requests that they ran.
const (
	// readTime is the time in which an engine reads a prompt of 3,000 tokens, at 33.3333
	// tokens in a millisecond.
	readTime = 90 * time.Millisecond
	// A slow engine needs slowFactor times as long.
	slowFactor = 4.33
	slowOnes   = 2
	losers     = 5
	lostShare  = 0.3
	// The disruptions last for troubleTime, with pauses of calmTime.
	troubleTime = 5500 * time.Millisecond
	calmTime    = 2500 * time.Millisecond
	onceCalls   = 90
	onceTime    = 88 * time.Second
)

// slowDown makes engines slow and has others lose answers, again and again, until ctx ends.
func slowDown(ctx context.Context, slow []*replica, losing *atomic.Bool) {
	more := (slowFactor - 1) * float64(readTime)
	for ctx.Err() == nil {
		sleep(ctx, calmTime)
		losing.Store(true)
		for _, r := range slow {
			r.proxy.SetFlows(proxy.Flow{}, proxy.Flow{Delay: clock.FromDuration(time.Duration(more))})
		}
		sleep(ctx, troubleTime)
		losing.Store(false)
		for _, r := range slow {
			r.proxy.SetFlows(proxy.Flow{}, proxy.Flow{})
		}
	}
}

// slowAndLost sends streams that may run once, while two engines that read prompts are slow
// and some of those that decode lose answers.
//
// TWICE: a request that isn't idempotent doesn't run more than once.
func slowAndLost(ctx context.Context, g *rig, trouble bool) (bool, error) {
	var slow []*replica
	for i := range prefills {
		k := engine("prefill")
		k.setUp = func(r *extsim.Replica) { r.PrefillTime = readTime }
		k.proxied = i < slowOnes
		if r := g.addReplica(k); k.proxied {
			slow = append(slow, r)
		}
	}
	var losing atomic.Bool
	for i := range decodes {
		k := engine("decode")
		k.setUp = func(r *extsim.Replica) {
			r.EventCount, r.EventInterval = 7, 20*time.Millisecond
			if i < losers {
				r.Pace = func(string) extsim.Pace {
					if losing.Load() && rand.Float64() < lostShare {
						r.InjectFault(extsim.LoseAnswer, 1)
					}
					return extsim.Pace{}
				}
			}
		}
		g.addReplica(k)
	}
	g.publish()
	if err := g.launch(ctx, entries); err != nil {
		return false, err
	}
	load, end := context.WithTimeout(ctx, onceTime)
	defer end()
	if trouble {
		g.wait.Go(func() { slowDown(load, slow, &losing) })
	}
	var wg sync.WaitGroup
	var n, whole, refused, failed atomic.Int64
	for i := range onceCalls {
		wg.Go(func() {
			for load.Err() == nil {
				k := n.Add(1)
				a := g.ask(load, g.entries[i%len(g.entries)], extsim.Call{
					ID: fmt.Sprintf("%016x", 0xe000000000+k), Path: once + "x", Body: fmt.Sprintf("draft %d", k), Deadline: deadline, Generates: true,
				})
				switch {
				case load.Err() != nil:
				case a.Complete && a.Status == 200:
					whole.Add(1)
				case a.Status == 503:
					refused.Add(1)
				default:
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	type place struct {
		replica string
		at      time.Time
	}
	runs := make(map[string][]place)
	for _, r := range g.all() {
		for _, run := range r.sim.Runs() {
			runs[run.ID] = append(runs[run.ID], place{r.sim.ID, run.Begun})
		}
	}
	again := 0
	for id, places := range runs {
		if len(places) == 1 {
			continue
		}
		again++
		for _, p := range places {
			g.note("request %s ran at %s at %.3f", id, p.replica, p.at.Sub(g.start).Seconds())
		}
	}
	g.note("%d streams sent: %d whole, %d refused, %d failed; %d ran, %d of them more than once", n.Load(), whole.Load(), refused.Load(), failed.Load(), len(runs), again)
	return again > 0, nil
}
