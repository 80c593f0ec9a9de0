package alloc

import (
	"context"
	"math/rand/v2"
	"slices"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/limit"
	"lacewinghook.example/lacewinghook/notice"
	"lacewinghook.example/lacewinghook/route"
	"lacewinghook.example/lacewinghook/shard"
)

// Candidates returns the engines of a role that serve a service and aren't draining,
// with their work. [pool.Table] documents it.
type Candidates interface {
	Candidates(role core.Role, service string, blocks []uint64, buf []route.Candidate) []route.Candidate
}

// Notices holds what the engines state about themselves. [notice.Table] documents it.
type Notices interface {
	// Status returns what applies to an engine, and Names those with a status.
	Status(engine string) notice.Status
	Names() []string
}

// Desk places requests on engines, and holds those that wait for them. Pool is
// required.
type Desk struct {
	Pool  Candidates
	Clock clock.Clock
	// Notices, if not nil, excludes the engines that must get nothing from this entry.
	Notices Notices
	// GroupOf returns the service and the group of an engine. If nil, requests are not
	// limited to a group.
	GroupOf func(engine string) (service string, group int, ok bool)

	// queues holds one wait queue per service and group.
	queues shard.Map[string, *limit.Queue]
	// fullUntil holds, per decode engine, until when its memory counts as full after
	// it refused a request.
	fullUntil shard.Map[string, clock.Millis]
}

// noMemoryBackoff is how long an engine that refused a request for lack of memory
// counts as full: about the time between the ends of two of its streams.
const noMemoryBackoff clock.Millis = 80

// Place waits until engines have capacity for the request. It calls commit with the
// choice before any other choice is made, so that commit can count the work. commit
// must not block. After an error nothing is placed.
func (d *Desk) Place(ctx context.Context, r Request, commit func(Choice)) error {
	if err := r.late(d.Clock.Now()); err != nil {
		return err
	}
	d.markFull(r.Full)
	return d.queue(r).Wait(ctx, d.ticket(r, commit))
}

// TryPlace is [Desk.Place] without waiting. It reports whether the request was
// placed, which it isn't if others wait.
func (d *Desk) TryPlace(r Request, commit func(Choice)) (bool, error) {
	if err := r.late(d.Clock.Now()); err != nil {
		return false, err
	}
	d.markFull(r.Full)
	return d.queue(r).TryNow(d.ticket(r, commit))
}

// ticket returns the request's ticket in the wait queue.
func (d *Desk) ticket(r Request, commit func(Choice)) limit.Ticket {
	return limit.Ticket{
		Workspace: r.Workspace, Priority: r.Priority, Cost: r.Tokens, Target: r.Target, Latest: r.Latest, TimeToFirstToken: r.TimeToFirstToken, Urgent: r.Urgent,
		Try: func() (bool, error) {
			c, ok, err := d.choose(r)
			if ok {
				commit(c)
			}
			return ok, err
		},
	}
}

// queue returns the wait queue for the engines that the request may use.
func (d *Desk) queue(r Request) *limit.Queue {
	return d.queues.Ensure(queueKey(r), func() *limit.Queue {
		return &limit.Queue{Clock: d.Clock, TardyLast: true}
	})
}

// Waiting returns the number of requests that wait for the same engines as r and aren't
// less urgent.
func (d *Desk) Waiting(r Request) int { return d.queue(r).Ahead(r.Priority) }

// Wake places the waiting requests for which capacity has become available. It is
// called when work has ended.
func (d *Desk) Wake() {
	// Wake takes the queue's lock, which must not be acquired while a shard's
	// lock is held. Values returns a copy.
	for _, q := range d.queues.Values() {
		if q.Len() > 0 {
			q.Wake()
		}
	}
}

// Observe ignores a measurement, since the pool already has those of this entry.
func (d *Desk) Observe(Observation) {}

// markFull counts an engine as full for noMemoryBackoff.
func (d *Desk) markFull(engine string) {
	if engine != "" {
		d.fullUntil.Set(engine, d.Clock.Now()+noMemoryBackoff)
		d.Clock.AfterFunc(noMemoryBackoff+1, d.Wake)
	}
}

// choose selects the engines for a request. ok is false if it must wait, since no
// decode engine has enough free memory.
func (d *Desk) choose(r Request) (c Choice, ok bool, err error) {
	prefills, decodes, err := d.candidates(d.Pool, r)
	if err != nil {
		return Choice{}, false, err
	}
	best, ok := route.Direct{}.Choose(r.query(rand.Uint64()), prefills, decodes)
	if !ok {
		return Choice{}, false, nil
	}
	return r.choice(best, prefills, decodes), true, nil
}

// candidates returns the engines of pool that a request may use, at least one decode
// engine.
func (d *Desk) candidates(pool Candidates, r Request) (prefills, decodes []route.Candidate, err error) {
	prefills = d.usable(pool, core.Prefill, r)
	decodes = d.usable(pool, core.Decode, r)
	if len(decodes) == 0 {
		return prefills, nil, codes.New(codes.NoUpstream, "service %q: %d prefill and no decode upstreams", r.Service, len(prefills))
	}
	now := d.Clock.Now()
	for i := range decodes {
		if until, marked := d.fullUntil.Get(decodes[i].Name); marked && now < until {
			decodes[i].Free = 0
		}
	}
	return prefills, decodes, nil
}

// query returns the part of the request that the choice depends on.
func (r Request) query(seed uint64) route.Query {
	return route.Query{
		Tokens: r.Tokens, Output: r.Output, Pieces: r.Pieces, Bytes: r.Bytes, Centre: r.Centre,
		Seed: seed, Exported: r.Exported,
	}
}

// choice returns the selected engines by name.
func (r Request) choice(best route.Choice, prefills, decodes []route.Candidate) Choice {
	c := Choice{
		Decode: decodes[best.Decode].Name, Direct: best.Direct, FirstToken: best.FirstToken, Tokens: best.Tokens, Fill: best.Fill,
	}
	switch {
	case best.Direct:
		c.Ahead = decodes[best.Decode].QueuedTokens
	case !r.Exported:
		c.Prefill = prefills[best.Prefill].Name
		c.Ahead = prefills[best.Prefill].QueuedTokens
	}
	return c
}

// usable returns the engines of pool of a role in the request's group that aren't barred. If
// there are others, it leaves out those that leave, and those that are excluded; if
// there aren't, it prefers the former.
func (d *Desk) usable(pool Candidates, role core.Role, r Request) []route.Candidate {
	all := pool.Candidates(role, r.Service, nil, nil)
	if r.Group > 0 && d.GroupOf != nil {
		all = slices.DeleteFunc(all, func(c route.Candidate) bool {
			_, g, ok := d.GroupOf(c.Name)
			return !ok || g != r.Group-1
		})
	}
	var best []route.Candidate
	lowest := 0
	for _, c := range all {
		rank, barred := d.rank(c.Name, r)
		if barred || len(best) > 0 && rank > lowest {
			continue
		}
		if len(best) > 0 && rank < lowest {
			best = best[:0]
		}
		best, lowest = append(best, c), rank
	}
	return best
}

// rank returns 0 for an engine that is to be preferred and more for others. barred
// reports whether the entry of the request may not use it.
func (d *Desk) rank(engine string, r Request) (rank int, barred bool) {
	var s notice.Status
	if d.Notices != nil {
		s = d.Notices.Status(engine)
	}
	leaving := s.Leaving
	if r.Remote {
		// A pause applies to the entry that was asked for it, and the time that a
		// leaving engine may still be used is counted from that entry's answers.
		barred = slices.Contains(r.Barred, engine)
		leaving = leaving || slices.Contains(r.Leaving, engine)
	} else {
		barred = s.Barred
	}
	if leaving {
		rank++
	}
	if slices.Contains(r.Exclude, engine) {
		rank += 2
	}
	return rank, barred
}
