package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/extsim"
	"lacewinghook.example/lacewinghook/osproc"
	"lacewinghook.example/lacewinghook/proxy"
)

// newRand returns a generator for a seed and a purpose.
func newRand(seed, purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, purpose)) }

// play runs the steps at their times and waits until all have ended.
func (g *rig) play(ctx context.Context, steps []Step) {
	for _, s := range steps {
		if sleep(ctx, s.At-g.now()) != nil {
			return
		}
		g.steps.Go(func() { g.step(ctx, s) })
	}
	g.steps.Wait()
}

// minRollGap and maxRollGap limit the time between two stops of a slow roll. Its stops
// overlap.
const (
	minRollGap              = 1 * clock.Second
	maxRollGap clock.Millis = 3500
)

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d clock.Millis) error { return clock.Clock{}.Sleep(ctx, d) }

// step runs one step.
func (g *rig) step(ctx context.Context, s Step) {
	r := newRand(s.Seed, 3)
	e := g.entries[s.Target%len(g.entries)]
	// Callers meet the step from a few milliseconds before it to a few after it.
	g.steps.Go(func() { _ = sleep(ctx, clock.Millis(r.Int64N(20))); g.wakeCallers() })
	_ = sleep(ctx, clock.Millis(newRand(s.Seed, 4).Int64N(20)))
	switch s.Kind {
	case Term:
		g.restart(ctx, e, s)
	case Roll:
		gap := s.For / clock.Millis(len(g.entries))
		if r.IntN(2) == 0 {
			gap = minRollGap + clock.Millis(r.Int64N(int64(maxRollGap-minRollGap)))
		}
		for _, e := range g.entries {
			g.steps.Go(func() { g.restart(ctx, e, s) })
			_ = sleep(ctx, gap)
		}
	case Kill:
		g.restart(ctx, e, s)
	case Freeze:
		g.freeze(ctx, e, s.For)
	case Hup:
		g.signal(e, Hup, syscall.SIGHUP)
	case Manifest:
		defer g.outage(Manifest, -1, -1)()
		g.publish(r)
	case Change:
		g.change(ctx, e, s, r)
	case Deadly:
		g.deadly(ctx, s, r)
	case Storm:
		defer g.outage(Storm, -1, -1)()
		for range 3 + r.IntN(10) {
			g.publish(r)
			_ = sleep(ctx, clock.Millis(r.Int64N(150)))
		}
	case StoreDown:
		modes := []extsim.Mode{extsim.Unavailable, extsim.TooManyRequests, extsim.NoResponse, extsim.Reset}
		defer g.outage(StoreDown, -1, -1)()
		g.store.SetMode(modes[r.IntN(len(modes))])
		_ = sleep(ctx, s.For)
		g.store.SetMode(extsim.Up)
	case StoreSlow:
		defer g.outage(StoreSlow, -1, -1)()
		for _, e := range g.entries {
			e.store.SetFlows(proxy.Flow{}, proxy.Flow{Delay: 300})
			defer e.store.SetFlows(proxy.Flow{}, proxy.Flow{})
		}
		_ = sleep(ctx, s.For)
	case StoreLost:
		defer g.outage(StoreLost, e.n, -1)()
		e.store.SetFlows(proxy.Flow{}, proxy.Flow{Hold: true})
		_ = sleep(ctx, s.For)
		e.store.Reset()
		e.store.SetFlows(proxy.Flow{}, proxy.Flow{})
	case StoreBack:
		g.setBack(ctx, s.For, r)
	case StoreCut:
		defer g.outage(StoreCut, e.n, -1)()
		e.store.Cut()
		_ = sleep(ctx, s.For)
		e.store.Heal()
	default:
		g.stepReplica(ctx, s, r)
	}
}

// rewriteTime is the longest time until operators and replicas have written their rows to a
// restored store again.
const rewriteTime = 2 * clock.Second

// setBack sets the store back to a copy that is age old.
func (g *rig) setBack(ctx context.Context, age clock.Millis, r *rand.Rand) {
	g.restoring.Lock()
	defer g.restoring.Unlock()
	old := g.store.Copy()
	_ = sleep(ctx, age)
	defer g.outage(StoreBack, -1, -1)()
	var writers sync.WaitGroup
	for _, write := range g.store.Restore(old, extsim.OperatorTable, extsim.ReplicaTable) {
		pause := clock.Millis(r.Int64N(int64(rewriteTime)))
		writers.Go(func() { _ = sleep(ctx, pause); write() })
	}
	writers.Wait()
}

// oddFaults are the wrong answers of the step Odd, and silentFaults the parts of an
// exchange before which the step Silent has a replica pause, beside pauses of its whole
// link; both by the phase of the replica.
var (
	oddFaults = map[string][]extsim.Fault{
		"": {
			extsim.Reject, extsim.CutAnswer, extsim.LoseAnswer, extsim.InvalidAnswer, extsim.DuplicateAnswer,
			extsim.NoContentLength, extsim.ServerError, extsim.Unsigned, extsim.RepeatRefusal,
		},
		"prefill": {extsim.Reject, extsim.Hang},
		"decode": {
			extsim.Reject, extsim.CutAnswer, extsim.LoseAnswer, extsim.InvalidAnswer, extsim.ServerError, extsim.Unsigned,
			extsim.HandleGone, extsim.Hang,
		},
	}
	silentFaults = map[string][]extsim.Fault{
		"":        {extsim.SilentHead},
		"prefill": {extsim.SilentPrefill},
		"decode":  {extsim.SilentHold, extsim.SilentHead, extsim.SilentStream},
	}
)

// stepReplica runs a step on one of the replicas that are registered as ready.
func (g *rig) stepReplica(ctx context.Context, s Step, r *rand.Rand) {
	g.mu.Lock()
	c := g.ready[s.Target%len(g.ready)]
	g.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	defer g.outage(s.Kind, -1, c.n)()
	normal := func() { c.proxy.SetFlows(proxy.Flow{}, proxy.Flow{}) }
	defer normal()
	switch s.Kind {
	case Leave:
		g.leave(ctx, c, r.IntN(2) == 0, r.IntN(2) == 0)
	case Pause:
		c.sim.Pause(s.For.Duration())
		_ = sleep(ctx, s.For)
	case Crash:
		if g.retire(c) {
			c.sim.Stop()
			c.proxy.Cut()
			// The platform removes the row after three heartbeats.
			_ = sleep(ctx, s.For)
			g.store.Remove(extsim.ReplicaTable, c.sim.ID)
		}
	case Silent:
		if r.IntN(2) == 0 {
			g.inject(ctx, c, silentFaults[c.sim.Phase], r, s.For)
			return
		}
		c.proxy.SetFlows(proxy.Flow{Hold: true}, proxy.Flow{Hold: true})
		_ = sleep(ctx, 700+clock.Millis(r.Int64N(500)))
	case Reset:
		c.proxy.Reset()
	case OneWay:
		up := r.IntN(2) == 0
		c.proxy.SetFlows(proxy.Flow{Hold: up}, proxy.Flow{Hold: !up})
		_ = sleep(ctx, s.For)
	case Slow:
		d := 10 + clock.Millis(r.Int64N(90))
		c.proxy.SetFlows(proxy.Flow{Delay: d}, proxy.Flow{Delay: d})
		_ = sleep(ctx, s.For)
	case Endless:
		c.proxy.SetFlows(proxy.Flow{}, proxy.Flow{Endless: true})
		_ = sleep(ctx, s.For)
	case Odd:
		g.inject(ctx, c, oddFaults[c.sim.Phase], r, s.For)
	}
}

// maxFaulty is the largest number of requests that meet an injected fault.
const maxFaulty = 6

// inject makes some of the next requests to a replica meet one of the faults.
func (g *rig) inject(ctx context.Context, c *replica, faults []extsim.Fault, r *rand.Rand, d clock.Millis) {
	f := faults[r.IntN(len(faults))]
	c.sim.InjectFault(f, 1+r.IntN(maxFaulty))
	_ = sleep(ctx, d)
	c.sim.InjectFault(f, 0)
}

// retire takes a replica out of those that are ready and starts another one. It returns
// false if the replica is not ready.
func (g *rig) retire(c *replica) bool {
	g.mu.Lock()
	found := false
	for i, r := range g.ready {
		if r == c {
			g.ready = append(g.ready[:i:i], g.ready[i+1:]...)
			found = true
			break
		}
	}
	g.mu.Unlock()
	if !found {
		return false
	}
	if err := g.addReplica(c.sim.Service, c.sim.Phase); err != nil {
		panic(fmt.Sprintf("soak: no listener is left: %v", err))
	}
	return true
}

// leave has a replica drain, or just vanish from the store, and end some time later. It may
// also state in its answers that it leaves.
func (g *rig) leave(ctx context.Context, c *replica, announce, state bool) {
	if !g.retire(c) {
		return
	}
	c.sim.Leave(state)
	if announce {
		g.store.Put(extsim.ReplicaTable, c.sim.ID, c.sim.Row("draining"))
	} else {
		g.store.Remove(extsim.ReplicaTable, c.sim.ID)
	}
	g.mu.Lock()
	c.left = time.Now()
	g.mu.Unlock()
	// A replica serves a little longer than it has to, and ends what it has.
	_ = sleep(ctx, drain+drainSlack)
	for c.sim.Running() > 0 && sleep(ctx, drainInterval) == nil {
	}
	// The end of the last answer may still be on its way to a slow caller.
	_ = sleep(ctx, lastBytesTime)
	g.store.Remove(extsim.ReplicaTable, c.sim.ID)
	c.sim.Stop()
}

// drainSlack is the time after the last instant at which a request may reach a replica that
// leaves, drainInterval the time between two looks at whether it still works, and
// lastBytesTime longer than the end of an answer may take to a slow caller.
const (
	drainSlack                 = 2 * clock.Second
	drainInterval clock.Millis = 50
	lastBytesTime              = 1 * clock.Second
)

// listens reports whether the process has begun to serve callers. Before that, its program
// may not run yet, and a signal that it has to handle would end it. The caller holds state.
func (e *entry) listens() bool {
	if !e.listening && e.up {
		conn, err := net.DialTimeout("tcp", e.settings.Callers.Listen, dialTimeout.Duration())
		if err == nil {
			_ = conn.Close()
		}
		e.listening = err == nil
	}
	return e.listening
}

// signal sends a signal to the current process of an entry. It returns nil if there is
// none.
func (g *rig) signal(e *entry, k Kind, s syscall.Signal) *osproc.Process {
	e.state.Lock()
	defer e.state.Unlock()
	handled := s == syscall.SIGHUP || s == syscall.SIGTERM
	if handled && !e.listens() {
		return nil
	}
	now := g.now()
	if !e.up || e.proc.Signal(s) != nil {
		return nil
	}
	switch {
	case s == syscall.SIGTERM && e.boot.Term == 0:
		e.boot.Term = now
		close(e.term)
	case s == syscall.SIGKILL && e.boot.Kill == 0:
		e.boot.Kill = now
	}
	if k == Hup {
		g.outage(Hup, e.n, -1)()
	}
	return e.proc
}

// restart ends the process of an entry, which is started again, and waits until the entry
// is ready. Further steps may meet it meanwhile.
func (g *rig) restart(ctx context.Context, e *entry, s Step) {
	k, sig := Term, syscall.SIGTERM
	if s.Kind == Kill {
		k, sig = Kill, syscall.SIGKILL
	}
	defer g.outage(k, e.n, -1)()
	proc := g.signal(e, k, sig)
	if proc == nil {
		return
	}
	// A stop that a freeze prolongs may last longer than the grace period.
	select {
	case <-proc.Done():
	case <-time.After((grace + longest).Duration()):
		g.signal(e, Kill, syscall.SIGKILL)
		<-proc.Done()
	}
	// An error means that the entry has not come back. The checks report why.
	_ = g.awaitReady(ctx, e)
}

// freeze suspends an entry for a time.
func (g *rig) freeze(ctx context.Context, e *entry, d clock.Millis) {
	defer g.outage(Freeze, e.n, -1)()
	proc := g.signal(e, Freeze, syscall.SIGSTOP)
	if proc == nil {
		return
	}
	_ = sleep(ctx, d)
	// An error means that the process was killed meanwhile.
	_ = proc.Signal(syscall.SIGCONT)
}
