package slots

import (
	"context"
	"math/rand/v2"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/assign"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/limit"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/route"
	"lacewinghook.example/lacewinghook/shard"
)

// Desk grants slots at the replicas whose groups this entry owns. Replicas is required.
type Desk struct {
	// Replicas returns the replicas of a group that take new calls.
	Replicas func(service string, group int) []Replica
	// Centres, if not nil, returns the data centre of an entry.
	Centres func(entry string) string
	// Gate, if not nil, decides whether calls may leave the data centres of their entries.
	Gate  route.Gate
	Clock clock.Clock
	Meter *meter.Registry
	Log   *zap.Logger

	groups shard.Map[string, *group]
	// calls holds the calls that wait or are granted, and runs the runs of the entries.
	calls shard.Map[callKey, call]
	runs  shard.Map[string, entryRun]
}

// callKey identifies an ask.
type callKey struct {
	run, seq uint64
}

// entryRun is the run of an entry, and the instant of its last ask.
type entryRun struct {
	run uint64
	at  clock.Millis
}

// call is an ask that waits, or a granted one.
type call struct {
	// withdraw ends the wait. It is nil while the call doesn't wait.
	withdraw context.CancelFunc
	// replica is set for a granted call, which ends at expires.
	replica *replica
	expires clock.Millis
}

// Bounds on the calls.
const (
	// maxWait is how long an owner keeps an ask. The call is then asked for again, so that
	// an owner that has died is noticed.
	maxWait clock.Millis = 400
	// sweepInterval is the pause between two searches for expired grants.
	sweepInterval clock.Millis = 100
	// forgetAfter is the time after which the run of an entry that asks for nothing is
	// forgotten. Its calls have ended at their deadlines by then.
	forgetAfter = 1 * clock.Minute
	// maxEnds bounds the ends in one batch.
	maxEnds = 1024
	// minRetryAfter is the shortest time after which a rejected caller may return.
	minRetryAfter clock.Millis = 50
)

// Serve answers an [Ask]. It may wait. The code is [codes.Leaving] if ctx ends.
func (d *Desk) Serve(ctx context.Context, a Ask) Answer {
	d.noteRun(a.Entry, a.Run)
	g := d.group(a.Service, a.Group)
	key := callKey{a.Run, a.Seq}
	var answer Answer
	t := d.ticket(g, key, &a, &answer)
	d.calls.Set(key, call{})
	// A free slot is granted whatever is predicted: calls of one route may take much less
	// time than is usual for the service, and then have shorter deadlines. The queue rejects
	// a call that would have to wait and can't be answered in time.
	granted, err := g.queue.TryNow(t)
	if !granted && err == nil && a.Wait > 0 {
		granted, err = d.wait(ctx, g, key, t, min(a.Wait, maxWait))
	}
	if granted {
		d.Meter.Add("slots_granted_total", 1)
		return answer
	}
	d.calls.Delete(key)
	switch {
	case err != nil && ctx.Err() != nil:
		return Answer{Refusal: Refusal{Code: codes.Leaving, Message: "the owner ends"}}
	case err != nil:
		return Answer{Refusal: d.refusal(g, codes.From(err))}
	}
	return Answer{Refusal: Refusal{Waiting: int(g.waiting.Load())}}
}

// ticket returns the ticket of an ask in the wait queue. Its Try fills in the answer.
func (d *Desk) ticket(g *group, key callKey, a *Ask, answer *Answer) limit.Ticket {
	now := d.Clock.Now()
	usual, _ := g.times()
	centre := ""
	if d.Centres != nil {
		centre = d.Centres(a.Entry)
	}
	f := route.FreeSlot{Centre: centre, Gate: d.Gate, Trip: route.Trip{Service: a.Service, Draw: rand.Float64()}}
	latest := now + a.Latest
	arrived := now
	return limit.Ticket{
		// Answers take longer than usual as often as not. Of those that start with half of the
		// usual time to spare, 85% make their targets (of a log-normal distribution with a
		// sigma of 0.5), so that with less a call counts as one that misses it.
		Workspace: a.Workspace, Priority: a.Priority, Cost: int(max(1, usual)), Target: now + a.Target - usual/2, Latest: latest, TimeToFirstToken: usual,
		Try: func() (bool, error) {
			now := d.Clock.Now()
			f.Trip.Now, f.Trip.Waited, f.Trip.Target = now, float64(now-arrived), float64(arrived+a.Target-now)
			p, ok, err := g.choose(a, f, d.Replicas(a.Service, a.Group), now)
			if !ok {
				return false, err
			}
			withdrawn := false
			d.calls.Update(key, func(c call, ok bool) (call, bool) {
				withdrawn = !ok
				return call{replica: p.replica, expires: latest}, ok
			})
			if withdrawn {
				g.release(p.replica, End{}, now)
				return false, codes.From(context.Canceled).WithRun(codes.NotRun)
			}
			d.countZone(a.Service, p.leaves)
			*answer = p.answer
			return true, nil
		},
	}
}

// countZone counts a granted call by whether it leaves the data centre of its entry.
func (d *Desk) countZone(service string, leaves bool) {
	if d.Gate == nil {
		return
	}
	way := "stays"
	if leaves {
		way = "leaves"
	}
	d.Meter.Add("zones_calls_total", 1, "service", service, "way", way)
}

// wait waits in the queue of a group for at most the given time. granted is false without
// an error if no slot became free.
func (d *Desk) wait(ctx context.Context, g *group, key callKey, t limit.Ticket, most clock.Millis) (granted bool, err error) {
	waitCtx, cancel := context.WithTimeout(ctx, most.Duration())
	defer cancel()
	d.calls.Update(key, func(c call, ok bool) (call, bool) {
		c.withdraw = cancel
		return c, ok
	})
	g.waiting.Add(1)
	err = g.queue.Wait(waitCtx, t)
	g.waiting.Add(-1)
	if err != nil && waitCtx.Err() != nil && ctx.Err() == nil {
		return false, nil
	}
	return err == nil, err
}

// refusal returns the answer to an ask that is rejected. Callers may return once the
// calls that wait now are served, spread over as long again, so that they don't return as
// one wave.
func (d *Desk) refusal(g *group, e *codes.Error) Refusal {
	d.Meter.Add("slots_rejected_total", 1, "code", e.Code.String())
	r := Refusal{Code: e.Code, Message: e.Message}
	if e.Code == codes.DeadlineUnmet || e.Code == codes.QueueFull {
		_, drain := g.times()
		r.Retry = max(e.RetryAfter, drain, minRetryAfter)
		r.Retry += rand.N(r.Retry)
	}
	return r
}

// HandleEnds processes the ends of another entry's calls. Those of unknown calls are
// ignored: this entry has started or become the owner since.
func (d *Desk) HandleEnds(m Ends) {
	for _, e := range m.Ends[:min(len(m.Ends), maxEnds)] {
		if c, ok := d.calls.Delete(callKey{m.Run, e.Seq}); ok {
			d.end(c, e)
		}
	}
	if n := d.drop(func(k callKey, _ call) bool { return k.run == m.Run && k.seq < m.Oldest }); n > 0 {
		d.Meter.Add("slots_ends_missed_total", n)
	}
}

// end ends a call that is no longer in d.calls.
func (d *Desk) end(c call, e End) {
	if c.replica == nil {
		if c.withdraw != nil {
			c.withdraw()
		}
		return
	}
	g := c.replica.group
	if full := g.release(c.replica, e, d.Clock.Now()); full > 0 {
		d.Meter.Add("slots_replica_full_total", 1)
		d.Clock.AfterFunc(full+1, g.queue.Wake)
	}
	g.queue.Wake()
}

// noteRun ends the calls of an entry's earlier run.
func (d *Desk) noteRun(entry string, run uint64) {
	var old entryRun
	known := false
	d.runs.Update(entry, func(was entryRun, ok bool) (entryRun, bool) {
		old, known = was, ok
		return entryRun{run, d.Clock.Now()}, true
	})
	if known && old.run != run {
		n := d.drop(func(k callKey, _ call) bool { return k.run == old.run })
		d.log().Info("slots: an entry has restarted", zap.String("entry", entry), zap.Int("calls", n))
	}
}

// drop ends the calls for which f returns true, and returns their number.
func (d *Desk) drop(f func(callKey, call) bool) int {
	var ended []call
	d.calls.Each(func(k callKey, c call) bool {
		if !f(k, c) {
			return true
		}
		ended = append(ended, c)
		return false
	})
	for _, c := range ended {
		d.end(c, End{})
	}
	return len(ended)
}

// Run ends the grants whose deadline has passed, and forgets entries that ask no more and
// replicas that are no longer listed, until ctx ends.
func (d *Desk) Run(ctx context.Context) {
	d.Clock.Every(ctx, sweepInterval, func(context.Context) { d.sweep() })
}

// sweep ends the grants whose deadline has passed.
func (d *Desk) sweep() {
	now := d.Clock.Now()
	if n := d.drop(func(_ callKey, c call) bool { return c.replica != nil && c.expires < now }); n > 0 {
		d.Meter.Add("slots_expired_total", n)
		d.log().Info("slots: grants ended at their deadlines", zap.Int("calls", n))
	}
	d.runs.Each(func(_ string, r entryRun) bool { return now-r.at < forgetAfter })
	for _, g := range d.groups.Values() {
		g.retain(d.Replicas(g.service, g.number))
	}
}

// InFlight returns the number of calls that are granted or wait at this entry.
func (d *Desk) InFlight() int { return d.calls.Len() }

// group returns the state of a group.
func (d *Desk) group(service string, number int) *group {
	return d.groups.Ensure(assign.GroupKey(service, number), func() *group {
		g := &group{service: service, number: number, usual: firstUsual}
		g.queue.Clock = d.Clock
		return g
	})
}

// firstUsual is the answer time that is assumed before any was measured.
const firstUsual clock.Millis = 30

// log returns Log, or a logger that discards everything.
func (d *Desk) log() *zap.Logger {
	if d.Log == nil {
		return zap.NewNop()
	}
	return d.Log
}
