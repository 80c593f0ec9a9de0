package quota

import (
	"context"
	"slices"
	"syscall"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Times of a change of owners.
const (
	// changeTime is how long a previous owner goes on granting until the next one has asked
	// for its bucket. It is the time in which all entries learn a list, with a margin.
	changeTime = 3 * clock.Second
	// claimTime is how long after it has become the owner an entry asks the one before for
	// its bucket.
	claimTime = 10 * clock.Second
	// refusedTime is how long an entry counts as ended after its address has refused a
	// connection.
	refusedTime clock.Millis = 250
	// probeTimeout bounds a question to another entry while an asking entry waits.
	probeTimeout clock.Millis = 40
	// probeSilent is how long no other ask waits for an entry that did not answer one. It
	// is short, since a successor answers nothing meanwhile.
	probeSilent clock.Millis = 250
)

// claim is the right of this entry to decide for a workspace, since an instant at which the
// bucket held level. done is closed once the entry before has been asked.
type claim struct {
	done  chan struct{}
	since clock.Millis
	level float64
	// start is the instant of the list by which the entry became the owner.
	start clock.Millis
}

// release tells to which entry a bucket was given, and when.
type release struct {
	to core.Instance
	at clock.Millis
}

// absence is the first and the last instant at which an entry's address refused a connection.
type absence struct {
	first, last clock.Millis
}

// Serve answers an ask of another entry.
func (c *Client) Serve(ctx context.Context, a Ask) Answer {
	out := Answer{Grants: make([]Grant, len(a.Items))}
	for i, item := range a.Items {
		out.Grants[i] = c.serve(ctx, a, item)
	}
	return out
}

// serve answers one item: by its own bucket, or by that of the entry which has it.
func (c *Client) serve(ctx context.Context, a Ask, item Item) Grant {
	vs, now := c.current(), c.Clock.Now()
	if item.Release {
		return c.release(ctx, vs, a, item.Workspace)
	}
	if r, ok := c.released.Get(item.Workspace); ok && now < r.at+changeTime {
		return c.relay(ctx, a, item, r.to)
	}
	if held := vs.deciding(item.Workspace, c.Self.Name, now); held != nil {
		cl := c.claim(ctx, held, item.Workspace)
		if now = c.Clock.Now(); now < cl.since {
			return Grant{}
		}
		return c.Table.Decide(item, cl.since, cl.level, now)
	}
	ranked := vs[0].ranked(item.Workspace)
	rank := slices.IndexFunc(ranked, func(in core.Instance) bool { return in.Name == c.Self.Name })
	switch {
	case rank > 0:
		return c.succeed(ctx, a, item, ranked[:rank])
	case len(ranked) > 0:
		return c.relay(ctx, a, item, ranked[0])
	}
	return Grant{}
}

// succeed answers in place of the entries before this one. It decides only if none of them
// runs any more, which a refused connection proves. An entry that merely doesn't answer may
// go on granting to others.
func (c *Client) succeed(ctx context.Context, a Ask, item Item, before []core.Instance) Grant {
	var since clock.Millis
	for _, in := range before {
		now := c.Clock.Now()
		gone, ok := c.gone.Get(in.Name)
		if !ok || now >= gone.last+refusedTime {
			if a.Relayed || c.passedOver(in.Name) {
				return Grant{}
			}
			g, err := c.askOne(ctx, in, probeTimeout, true, item)
			if err == nil {
				c.gone.Delete(in.Name)
				return g
			}
			if !refusedConnection(err) {
				c.passOver(in, probeSilent, err)
				return Grant{}
			}
			gone = c.refusedAt(in.Name, c.Clock.Now())
		}
		since = max(since, gone.first)
	}
	return c.Table.Decide(item, since, 0, c.Clock.Now())
}

// refusedAt notes that an entry's address has refused a connection.
func (c *Client) refusedAt(name string, now clock.Millis) absence {
	var a absence
	c.gone.Update(name, func(old absence, ok bool) (absence, bool) {
		a = absence{first: now, last: now}
		if ok && now < old.last+maxAbsenceGap {
			a.first = old.first
		}
		return a, true
	})
	return a
}

// maxAbsenceGap is the longest time between two refused connections that count as one
// absence. An owner that has started in between asks its successor for the bucket before it
// grants, see [Client.release].
const maxAbsenceGap = 10 * clock.Second

// relay passes an item on to the entry that decides.
func (c *Client) relay(ctx context.Context, a Ask, item Item, to core.Instance) Grant {
	if a.Relayed || to.Name == c.Self.Name {
		return Grant{}
	}
	g, err := c.askOne(ctx, to, probeTimeout, true, item)
	if err != nil {
		return Grant{}
	}
	return g
}

// release gives the bucket of a workspace to the entry that asks for it.
func (c *Client) release(ctx context.Context, vs views, a Ask, workspace string) Grant {
	var g Grant
	if held := vs.deciding(workspace, c.Self.Name, c.Clock.Now()); held != nil {
		cl := c.claim(ctx, held, workspace)
		if now := c.Clock.Now(); now >= cl.since {
			g = c.Table.Release(workspace, cl.since, cl.level, now)
		}
	} else if gone, ok := c.gone.Get(a.From.Name); ok {
		// This entry has taken the place of the one that asks.
		g = c.Table.Release(workspace, gone.first, 0, c.Clock.Now())
	}
	c.claims.Delete(workspace)
	c.gone.Delete(a.From.Name)
	c.released.Set(workspace, release{to: a.From, at: c.Clock.Now()})
	c.log().Info("quota: passed a workspace on", zap.String("workspace", workspace), zap.String("to", a.From.Name), zap.Float64("level", g.Level))
	return g
}

// initial returns the level at which a workspace starts if no entry has granted before.
func (c *Client) initial(start clock.Millis) float64 {
	if c.Fresh && start < c.startedAt()+freshTime {
		return fullBucket
	}
	return 0
}

const (
	// fullBucket is a level above the capacity of all buckets.
	fullBucket = 1e15
	// freshTime is the time after the first start of the whole system in which its entries
	// become listed.
	freshTime = 10 * clock.Second
)

// claim returns the right of this entry to decide for a workspace that it owns. On first
// use it asks the owner before for its bucket.
func (c *Client) claim(ctx context.Context, vs views, workspace string) *claim {
	start, before := vs.held(workspace, c.Self.Name)
	asks := false
	var cl *claim
	c.claims.Update(workspace, func(old *claim, ok bool) (*claim, bool) {
		if ok && old.start == start {
			cl = old
			return old, true
		}
		cl, asks = &claim{done: make(chan struct{}), start: start}, true
		return cl, true
	})
	if !asks {
		select {
		case <-cl.done:
		case <-ctx.Done():
			return &claim{since: c.Clock.Now() + changeTime}
		}
		return cl
	}
	defer close(cl.done)
	now := c.Clock.Now()
	cl.since, cl.level = start, c.initial(start)
	if r, ok := c.released.Get(workspace); ok && r.at+changeTime > start {
		// The bucket was given away, but the lists still have this entry as the owner.
		cl.since, cl.level = r.at+changeTime, 0
	}
	switch {
	case before.Name == "":
		return cl
	case now >= start+claimTime:
		cl.since = max(cl.since, start+changeTime)
		return cl
	}
	g, err := c.askOne(ctx, before, probeTimeout, true, Item{Workspace: workspace, Release: true})
	switch {
	case err == nil && g.State == Decided:
		cl.since, cl.level = c.Clock.Now(), g.Level
	case err == nil:
		// It has granted nothing since this entry is the owner.
	case refusedConnection(err):
		cl.since = c.Clock.Now()
	default:
		cl.since, cl.level = start+changeTime, 0
	}
	c.log().Info("quota: took a workspace over", zap.String("workspace", workspace), zap.String("from", before.Name),
		zap.Int64("in", int64(cl.since-now)), zap.Float64("level", cl.level), zap.Error(err))
	return cl
}

// refusedConnection reports whether an error proves that no process listens at the address.
func refusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
