package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lacewinghook.example/lacewinghook/extsim"
)

// The load of streams before and during the disruption, and the disruption: crashes of
// replicas, one of twelve at a time, where the pages allow a share of 0.15.
const (
	prefills, decodes, desks = 4, 8, 3
	streams                  = 70
	subjects                 = 2000
	crashes                  = 12
	crashPause               = 3 * time.Second
	streamEvents             = 20
	eventInterval            = 100 * time.Millisecond
)

// The requests that crash replicas.
const (
	orderTries  = 18
	streamTries = 20
	poisonPause = 2 * time.Second
	poisonMark  = "9015"
	deadly      = "dead01"
)

// engine returns the kind of an engine.
func engine(phase string) kind {
	return kind{service: verse, phase: phase, setUp: func(r *extsim.Replica) {
		r.EventCount, r.EventInterval, r.PrefillTime = streamEvents, eventInterval, 100*time.Millisecond
		r.DeadlyParts = []string{deadly}
	}}
}

// poisoned reports whether the request with this ID crashes the replica that runs it.
func poisoned(id string) bool { return id[:len(poisonMark)] == poisonMark }

// deskReplica returns the kind of a replica of the plain service, which crashes when it
// begins to run a poisoned request.
func deskReplica() kind {
	return kind{service: desk, setUp: func(r *extsim.Replica) {
		r.Work = func(id string) time.Duration {
			if poisoned(id) {
				go r.Stop()
				return deadline
			}
			return 60 * time.Millisecond
		}
	}}
}

// partTokens is the length of a shared part.
const partTokens = 20

// sharedParts returns n parts of a prompt that the requests of one subject share.
func sharedParts(subject int64, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "b%05x%02x:%d,", subject, i, partTokens)
	}
	return b.String()
}

// begin starts the deployment and a load of resumable streams on a number of subjects, each
// with a number of parts. stop ends the load.
func begin(ctx context.Context, g *rig, parts int) (stop func(), err error) {
	for range prefills {
		g.addReplica(engine("prefill"))
	}
	for range decodes {
		g.addReplica(engine("decode"))
	}
	for range desks {
		g.addReplica(deskReplica())
	}
	g.publish()
	if err := g.launch(ctx, entries); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var n, whole, cut, refused atomic.Int64
	for i := range streams {
		wg.Go(func() {
			for ctx.Err() == nil {
				k := n.Add(1)
				id := fmt.Sprintf("%016x", 0xa000000000+k)
				a := g.ask(ctx, g.entries[i%len(g.entries)], extsim.Call{
					ID: id, Path: resumed + "x", Body: fmt.Sprintf("draft %d", k), Deadline: deadline,
					Host: prompt(id, sharedParts(k%subjects, parts), parts*partTokens),
				})
				switch {
				case ctx.Err() != nil:
				case a.Complete && a.Status == 200:
					whole.Add(1)
				case a.Status == 503:
					refused.Add(1)
					sleep(ctx, time.Second)
				default:
					cut.Add(1)
				}
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
		g.note("sound streams: %d whole, %d refused, %d cut or failed", whole.Load(), refused.Load(), cut.Load())
	}, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// crashEngines crashes engines that decode, one at a time of the twelve replicas.
func crashEngines(ctx context.Context, g *rig) {
	for range crashes {
		sleep(ctx, crashPause)
		r := g.running(verse, "decode")[0]
		g.note("crash of %s, which runs %d streams", r.sim.ID, r.sim.Running())
		r.sim.Stop()
	}
	sleep(ctx, crashPause)
}

// calm waits as long as crashEngines takes.
func calm(ctx context.Context) { sleep(ctx, (crashes+1)*crashPause) }

// poisonRequest sends one order again and again that crashes each replica which begins to
// run it, to one entry after the other.
//
// BUDGET: it reaches replicas in at most three retries that are sent later than
// stable_window_ms after it has crashed the third replica.
func poisonRequest(ctx context.Context, g *rig, trouble bool) (bool, error) {
	stop, err := begin(ctx, g, 1)
	if err != nil {
		return false, err
	}
	if trouble {
		crashEngines(ctx, g)
	} else {
		calm(ctx)
	}
	sent := make(map[string]time.Time)
	for i := range orderTries {
		id := fmt.Sprintf("%s%012x", poisonMark, i)
		sent[id] = time.Now()
		a := g.ask(ctx, g.entries[i%len(g.entries)], extsim.Call{ID: id, Path: orders + "x", Body: "the order that crashes the desk", Deadline: 4 * time.Second})
		g.note("order %s to %s: status %d, complete %t, %v", id, g.entries[i%len(g.entries)].name, a.Status, a.Complete, a.Err)
		sleep(ctx, poisonPause)
	}
	stop()
	return judge(g, sent, 3)
}

// soundSessions is the number of sound callers whose prompts have the same parts as the
// deadly ones, but for that which crashes replicas.
const soundSessions = 10

// longPrompt sends streams whose prompts have many parts, as those of a long session, of
// which the one before the last crashes each replica that begins to write an answer on it.
//
// BUDGET: at most three requests with it reach replicas that are sent later than
// stable_window_ms after the fifth crash.
func longPrompt(ctx context.Context, g *rig, trouble bool) (bool, error) {
	const parts = 70
	stop, err := begin(ctx, g, parts)
	if err != nil {
		return false, err
	}
	load, end := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range soundSessions {
		wg.Go(func() {
			for n := 0; load.Err() == nil; n++ {
				id := fmt.Sprintf("%016x", 0xc000000000+i<<24+n)
				g.ask(load, g.entries[(i+n)%len(g.entries)], extsim.Call{
					ID: id, Path: once + "x", Body: "harvest", Deadline: deadline,
					Host: prompt(id, sharedParts(1, parts)+fmt.Sprintf("feed%02x:%d,", i, partTokens), (parts+1)*partTokens),
				})
			}
		})
	}
	sleep(ctx, crashPause)
	last := "feedff"
	if trouble {
		last = deadly
	}
	sent := sendDeadly(ctx, g, sharedParts(1, parts)+fmt.Sprintf("%s:%d,", last, partTokens), (parts+1)*partTokens)
	end()
	wg.Wait()
	stop()
	return judge(g, sent, 5)
}

// sendDeadly sends streams with the same parts, of the given length in all, to one entry after the other.
func sendDeadly(ctx context.Context, g *rig, parts string, tokens int) map[string]time.Time {
	sent := make(map[string]time.Time)
	for i := range streamTries {
		id := fmt.Sprintf("%s%012x", poisonMark, i)
		sent[id] = time.Now()
		a := g.ask(ctx, g.entries[i%len(g.entries)], extsim.Call{
			ID: id, Path: once + "x", Body: fmt.Sprintf("harvest %d", i), Deadline: deadline, Host: prompt(id, parts, tokens),
		})
		g.note("stream %s to %s: status %d, complete %t, %v", id, g.entries[i%len(g.entries)].name, a.Status, a.Complete, a.Err)
		sleep(ctx, poisonPause)
	}
	return sent
}

// mostLater is how many requests may reach replicas later than stable after the last of the
// crashes that the rule names.
const mostLater = 3

// judge counts the requests that have reached replicas and were sent later than stable
// after they had crashed the given number.
func judge(g *rig, sent map[string]time.Time, crashed int) (bool, error) {
	type hit struct {
		id   string
		sent time.Time
		at   time.Time
	}
	var hits []hit
	var ends []time.Time
	for _, r := range g.all() {
		for _, run := range r.sim.Runs() {
			if _, ok := sent[run.ID]; !ok {
				continue
			}
			hits = append(hits, hit{run.ID, sent[run.ID], run.Begun})
			g.mu.Lock()
			if !r.endedAt.IsZero() {
				ends = append(ends, r.endedAt)
			}
			g.mu.Unlock()
		}
	}
	slices.SortFunc(hits, func(a, b hit) int { return a.at.Compare(b.at) })
	slices.SortFunc(ends, time.Time.Compare)
	for _, h := range hits {
		g.note("%s, sent at %.3f, reached a replica at %.3f", h.id, h.sent.Sub(g.start).Seconds(), h.at.Sub(g.start).Seconds())
	}
	if len(ends) < crashed {
		g.note("%d crashes by these requests, the rule counts from number %d", len(ends), crashed)
		return false, nil
	}
	from := ends[crashed-1].Add(stable)
	later := 0
	for _, h := range hits {
		if h.sent.After(from) {
			later++
		}
	}
	g.note("%d crashes by these requests; %d were sent later than %v after number %d, %d are allowed", len(ends), later, stable, crashed, mostLater)
	return later > mostLater, nil
}
