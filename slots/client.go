package slots

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/assign"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/notice"
)

// Peers calls other entries.
type Peers interface {
	// AskSlot asks the owner at addr for a slot.
	AskSlot(ctx context.Context, addr string, a Ask) (Answer, error)
	// EndSlots reports ends to the owner at addr.
	EndSlots(ctx context.Context, addr string, e Ends) error
}

// Notices holds what the replicas state about themselves. [notice.Table] documents it.
type Notices interface {
	Status(replica string) notice.Status
	Names() []string
}

// Client takes slots from the owners of the groups. All fields but Notices, Meter and Log
// are required.
type Client struct {
	// Desk grants slots of the groups that this entry owns.
	Desk  *Desk
	Peers Peers
	// Self is this entry, and Boot identifies its run.
	Self core.Instance
	Boot uint64
	// Entries returns the entries that may be owners, this one included. It returns none
	// while the entries are few; calls then need no slots.
	Entries func() []core.Instance
	// Groups returns the groups of a service's replicas, none if its calls need no slots.
	Groups func(service string) Groups
	// Notices, if not nil, tells which replicas must get nothing from this entry.
	Notices Notices
	Clock   clock.Clock
	Meter   *meter.Registry
	Log     *zap.Logger

	setUp  sync.Once
	finder assign.Finder
	outbox outbox
}

// Timing of the calls to owners.
const (
	// answerTimeout bounds the answer beyond the wait, and silentFor is how long an owner
	// that failed to answer is passed over. It doubles up to maxSilence until the owner
	// answers: each attempt delays a call.
	answerTimeout clock.Millis = 100
	silentFor                  = 2 * clock.Second
	maxSilence                 = 16 * clock.Second
	// firstWait is the wait of the first ask of a call. It is short, so that a call whose
	// owner has died can still meet a target of some hundred milliseconds.
	firstWait clock.Millis = 50
	// maxOwners is the number of owners asked for one group.
	maxOwners = 3
)

// errNoOwner means that no owner of a group has answered.
var errNoOwner = errors.New("slots: no owner answered")

// Take waits for a slot at a replica. If ok is false without an error, no one grants slots:
// the call needs none, or no owner answers. The error is one with which the call is
// rejected; it was not run. With r.NoWait it is [codes.QueueFull] if no slot is free.
func (c *Client) Take(ctx context.Context, r Request) (g Grant, ok bool, err error) {
	c.setUp.Do(func() { c.finder.MaxSilence = maxSilence })
	entries := c.Entries()
	if len(entries) == 0 {
		return Grant{}, false, nil
	}
	groups := c.Groups(r.Service)
	first, second, ok := groups.Pick(rand.Float64(), rand.Float64())
	if !ok {
		return Grant{}, false, nil
	}
	s := search{client: c, request: r, entries: entries, groups: groups, start: c.Clock.Now()}
	order := []int{first}
	if first != second || r.NoWait {
		order, err = s.tryNow(ctx, first, second)
	}
	for _, group := range order {
		if s.granted() || r.NoWait || ctx.Err() != nil {
			break
		}
		err = s.wait(ctx, group)
	}
	if errors.Is(err, errNoOwner) {
		c.Meter.Add("slots_direct_total", 1)
		return Grant{}, false, nil
	}
	return s.grant, s.granted(), err
}

// search is the search for a slot for one call.
type search struct {
	client  *Client
	request Request
	entries []core.Instance
	groups  Groups
	start   clock.Millis
	// grant is the result; its Replica is empty if there is none.
	grant Grant
}

// granted reports whether a slot was found.
func (s *search) granted() bool { return s.grant.Replica != "" }

// tryNow asks two groups for a slot that is free now. Otherwise it returns the groups in
// the order of their waiting calls for each slot.
func (s *search) tryNow(ctx context.Context, first, second int) (order []int, err error) {
	load := func(group, waiting int) float64 { return float64(waiting) / float64(max(1, s.groups.Slots[group])) }
	a, err := s.ask(ctx, first, 0)
	if s.granted() || first == second || ctx.Err() != nil {
		return []int{first}, s.noneFree(err)
	}
	b, otherErr := s.ask(ctx, second, 0)
	if err != nil || otherErr == nil && load(second, b.Waiting) < load(first, a.Waiting) {
		return []int{second, first}, s.noneFree(otherErr)
	}
	return []int{first, second}, s.noneFree(err)
}

// noneFree returns err, or the error of a call that doesn't wait for a slot.
func (s *search) noneFree(err error) error {
	if err == nil && !s.granted() {
		return codes.New(codes.QueueFull, "no slot is free").WithRun(codes.NotRun)
	}
	return err
}

// wait waits for a slot of a group.
func (s *search) wait(ctx context.Context, group int) error {
	for wait := firstWait; ; wait = maxWait {
		left := s.request.Latest - s.client.Clock.Now()
		if left <= 0 {
			return codes.New(codes.DeadlineUnmet, "no slot became free in time").WithRun(codes.NotRun)
		}
		if _, err := s.ask(ctx, group, min(wait, left)); err != nil || s.granted() {
			return err
		}
	}
}

// ask asks the owner of a group for a slot, and passes over owners that don't answer. The
// error is one with which the owner rejected the call, errNoOwner, or that of ctx.
func (s *search) ask(ctx context.Context, group int, wait clock.Millis) (Answer, error) {
	c := s.client
	for range maxOwners {
		owner, ok := c.finder.Owner(assign.GroupKey(s.request.Service, group), s.entries, c.Clock.Now())
		if !ok {
			break
		}
		ask := s.message(group, wait)
		g := Grant{Seq: ask.Seq}
		if owner.Name != c.Self.Name {
			g.Owner, g.Peer = owner.Name, owner.Peer
		}
		a, err := c.send(ctx, g, ask)
		switch {
		case ctx.Err() != nil:
			// The slot may be granted all the same.
			c.End(g, Unused, 0)
			return Answer{}, codes.From(ctx.Err()).WithRun(codes.NotRun)
		case err != nil:
			c.End(g, Unused, 0)
			c.passOver(owner, err)
			continue
		case a.Code == codes.Leaving:
			c.outbox.finish(g.Seq)
			c.passOver(owner, codes.New(a.Code, "%s", a.Message))
			continue
		}
		c.finder.Answered(owner.Name)
		if a.Replica == "" {
			c.outbox.finish(g.Seq)
		}
		switch {
		case a.Code != 0:
			return a, codes.New(a.Code, "%s (group %d at %s)", a.Message, group, owner.Name).WithRun(codes.NotRun).WithRetryAfter(a.Retry)
		case a.Replica != "":
			g.Replica, g.Usual, g.InFlight, g.Slots, g.Waited = a.Replica, a.Usual, a.InFlight, a.Slots, c.Clock.Now()-s.start
			s.grant = g
		}
		return a, nil
	}
	return Answer{}, errNoOwner
}

// send sends an ask to the owner of the grant that it may yield.
func (c *Client) send(ctx context.Context, g Grant, ask Ask) (Answer, error) {
	if g.Owner == "" {
		return c.Desk.Serve(ctx, ask), nil
	}
	// The end of ctx cancels the call. Its deadline doesn't apply: a call that exceeds a
	// deadline closes the connection, which other asks use.
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), (ask.Wait + answerTimeout).Duration())
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	return c.Peers.AskSlot(call, g.Peer, ask)
}

// message returns the ask for a slot of a group.
func (s *search) message(group int, wait clock.Millis) Ask {
	c, r := s.client, &s.request
	now := c.Clock.Now()
	a := Ask{
		Run: c.run(), Seq: c.outbox.begin(), Entry: c.Self.Name, Service: r.Service, Target: r.Target - now, Latest: r.Latest - now, Wait: wait,
		AskDetails: AskDetails{Group: group, Workspace: r.Workspace, Priority: r.Priority},
	}
	inGroup := func(name string) bool { g, ok := s.groups.Of[name]; return ok && g == group }
	for _, name := range r.Exclude {
		if inGroup(name) {
			a.Exclude = append(a.Exclude, name)
		}
	}
	a.Barred, a.Leaving = notice.Known(c.Notices, inGroup)
	return a
}

// run returns a number that identifies this run among all entries. It has 48 bits of Boot,
// which take less room in messages than all of it.
func (c *Client) run() uint64 { return c.Boot >> 16 }

// passOver passes over an entry that failed to answer for silentFor.
func (c *Client) passOver(owner core.Instance, err error) {
	c.finder.PassOver(owner.Name, c.Clock.Now(), silentFor)
	c.Meter.Add("slots_owner_silent_total", 1)
	c.log().Warn("slots: an owner did not answer", zap.String("entry", owner.Name), zap.Int64("for", int64(silentFor)), zap.Error(err))
}

// End returns a slot to its owner. took is the time from the send to the first part of the
// answer, or to the failure.
func (c *Client) End(g Grant, o Outcome, took clock.Millis) {
	e := End{Seq: g.Seq, Outcome: o, Took: took}
	if g.Owner == "" {
		c.outbox.finish(g.Seq)
		c.Desk.HandleEnds(Ends{Run: c.run(), Ends: []End{e}})
		return
	}
	c.outbox.add(g.Peer, e)
}

// log returns Log, or a logger that discards everything.
func (c *Client) log() *zap.Logger {
	if c.Log == nil {
		return zap.NewNop()
	}
	return c.Log
}
