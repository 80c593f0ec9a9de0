package alloc

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/assign"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/notice"
	"lacewinghook.example/lacewinghook/notify"
	"lacewinghook.example/lacewinghook/pool"
)

// Peers calls other entries.
type Peers interface {
	// Place asks the owner at addr to place a request.
	Place(ctx context.Context, addr string, c Call) (Result, error)
	// Report sends a report to the owner at addr.
	Report(ctx context.Context, addr string, r Report) error
}

// Client places requests through the owners of the groups, and reports this entry's
// work to them. All fields but Log are required.
type Client struct {
	// Desk places requests for the groups that this entry owns, and for all while
	// the entries are few.
	Desk  *Desk
	Peers Peers
	// Ledger receives the work of other entries at this entry's groups.
	Ledger *Ledger
	// Self is this entry, and Boot its run.
	Self core.Instance
	Boot uint64
	// Entries returns the entries that may be owners, this one included. It returns
	// none while the entries are few enough to tell each other their work.
	Entries func() []core.Instance
	// Groups returns the groups of a service's engines, and GroupOf the service and
	// the group of an engine.
	Groups  func(service string) Groups
	GroupOf func(engine string) (service string, group int, ok bool)
	// Loads returns this entry's work.
	Loads func() []pool.Load
	// Observed receives the measurements of other entries. OnWork is called after
	// the ledger has changed. Neither may block.
	Observed func(Observation)
	OnWork   func()
	Clock    clock.Clock
	Log      *zap.Logger

	// finder finds the owners, and passes over entries that didn't answer.
	finder assign.Finder
	// changed wakes Run.
	changed notify.Signal

	// mu guards the fields below. grants lists, by owner, the placements to
	// acknowledge in the next report.
	mu     sync.Mutex
	grants map[string][]uint64
	seen   []Observation
}

// Timing of the calls to owners.
const (
	// maxWait is how long an owner keeps a call. The request is then asked for again,
	// so that an owner that has died is noticed.
	maxWait clock.Millis = 400
	// answerTimeout bounds the answer beyond the wait, and silentFor is how long an
	// owner that failed to answer is passed over.
	answerTimeout clock.Millis = 150
	silentFor                  = 2 * clock.Second
	// maxOwners is the number of owners asked for one group.
	maxOwners = 3
	// reportInterval is the interval of reports while nothing changes, and
	// minReportGap the least pause between two.
	reportInterval              = 1 * clock.Second
	minReportGap   clock.Millis = 10
	// reportTimeout bounds the sending of one report.
	reportTimeout clock.Millis = 300
	// maxSeen bounds the measurements between two reports.
	maxSeen = 64
)

// Place is [Desk.Place] at the owners: it asks those of two groups for engines that
// are free now, and then waits at the one with fewer waiting requests for each
// engine. If that one rejects the request for lack of capacity, it is asked for at the
// other one.
func (c *Client) Place(ctx context.Context, r Request, commit func(Choice)) error {
	groups := c.usableGroups(r.Service)
	entries := c.Entries()
	first, second, ok := groups.Pick(rand.Float64(), rand.Float64())
	if len(entries) == 0 || !ok {
		return c.Desk.Place(ctx, r, commit)
	}
	drawn := []int{first, second}
	if first == second {
		drawn = drawn[:1]
	}
	waiting := make(map[int]float64)
	var rejected error
	for _, g := range drawn {
		res, err := c.ask(ctx, entries, g, r, 0, commit)
		switch {
		case err == nil && res.Choice != nil:
			return nil
		case ctx.Err() != nil:
			return codes.From(ctx.Err()).WithRun(codes.NotRun)
		case err == nil:
			waiting[g] = float64(res.Waiting) / float64(max(1, groups.Decodes[g]))
		case codes.Has(err, codes.DeadlineUnmet):
			rejected = bothRejected(rejected, err)
		}
	}
	return c.waitAtOne(ctx, entries, r, waitOrder(drawn, waiting), rejected, commit)
}

// waitOrder returns the groups at which to wait: those that answered, the one with fewer
// waiting requests first, or the first drawn if none did.
func waitOrder(drawn []int, waiting map[int]float64) []int {
	order := slices.DeleteFunc(slices.Clone(drawn), func(g int) bool { _, ok := waiting[g]; return !ok })
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(waiting[a], waiting[b]) })
	if len(order) == 0 {
		return drawn[:1]
	}
	return order
}

// waitAtOne waits at the groups in order until one of them places the request. It goes on
// to the next one only if the owner rejects the request for lack of capacity. rejected is
// the error with which another group has rejected it, or nil.
func (c *Client) waitAtOne(ctx context.Context, entries []core.Instance, r Request, order []int, rejected error, commit func(Choice)) error {
	for _, g := range order {
		if rejected != nil && r.late(c.Clock.Now()) != nil {
			break
		}
		err := c.waitAt(ctx, entries, g, r, commit)
		switch {
		case err == nil || ctx.Err() != nil:
			return err
		case !codes.Has(err, codes.DeadlineUnmet) && !codes.Has(err, codes.QueueFull):
			return cmp.Or(rejected, err)
		}
		rejected = bothRejected(rejected, err)
	}
	return rejected
}

// waitAt waits at one group.
func (c *Client) waitAt(ctx context.Context, entries []core.Instance, group int, r Request, commit func(Choice)) error {
	for {
		res, err := c.ask(ctx, entries, group, r, maxWait, commit)
		switch {
		case ctx.Err() != nil && (err != nil || res.Choice == nil):
			return codes.From(ctx.Err()).WithRun(codes.NotRun)
		case err != nil:
			return err
		case res.Choice != nil:
			return nil
		}
	}
}

// bothRejected returns the error of a request that two groups have rejected: the caller
// may return once the first of them has capacity. Either error may be nil.
func bothRejected(first, second error) error {
	if first == nil || second == nil {
		return cmp.Or(first, second)
	}
	a, b := codes.From(first), codes.From(second)
	after := min(a.RetryAfter, b.RetryAfter)
	if after == 0 {
		after = max(a.RetryAfter, b.RetryAfter)
	}
	return codes.New(b.Code, "%s; %s", a.Message, b.Message).WithRun(codes.NotRun).WithRetryAfter(after)
}

// ask asks the owner of a group to place a request, and passes over owners that
// don't answer. The error is one with which the owner rejected the request.
func (c *Client) ask(ctx context.Context, entries []core.Instance, group int, r Request, wait clock.Millis, commit func(Choice)) (Result, error) {
	r.Group = group + 1
	if _, g, ok := c.GroupOf(r.Full); !ok || g != group {
		r.Full = ""
	}
	for range maxOwners {
		if err := r.late(c.Clock.Now()); err != nil {
			return Result{}, err
		}
		owner := c.owner(entries, r.Service, group)
		if owner.Name == c.Self.Name {
			break
		}
		call, cancel := context.WithTimeout(ctx, (wait + answerTimeout).Duration())
		res, err := c.Peers.Place(call, owner.Peer, c.call(r, wait))
		cancel()
		switch {
		case ctx.Err() != nil && res.Choice == nil:
			return Result{}, codes.From(ctx.Err())
		case err != nil:
			c.passOver(owner, err)
			continue
		case res.Choice != nil && r.late(c.Clock.Now()) != nil:
			// The answer took too long. A report that acknowledges the placement
			// without its work returns the memory.
			c.acknowledge(owner.Name, res.Grant)
			c.Trigger()
			return Result{}, r.late(c.Clock.Now())
		case res.Code == codes.Leaving:
			c.passOver(owner, res.err(owner.Name, group))
			continue
		case res.Choice != nil:
			res.Choice.Owner = owner.Name
			commit(*res.Choice)
			c.acknowledge(owner.Name, res.Grant)
		}
		return res, res.err(owner.Name, group)
	}
	return c.place(ctx, r, wait, func(ch Choice) uint64 { commit(ch); return 0 })
}

// err returns the error of a request that the owner has rejected, or nil.
func (r Result) err(owner string, group int) error {
	if r.Code == 0 {
		return nil
	}
	return codes.New(r.Code, "%s (group %d at %s)", r.Message, group, owner).WithRun(codes.NotRun).WithRetryAfter(r.Retry)
}

// place places a request of a group that this entry owns. grant returns the ID of
// the placement.
func (c *Client) place(ctx context.Context, r Request, wait clock.Millis, grant func(Choice) uint64) (Result, error) {
	var res Result
	commit := func(ch Choice) { res.Choice, res.Grant = &ch, grant(ch) }
	if wait == 0 {
		ok, err := c.Desk.TryPlace(r, commit)
		if err == nil && !ok {
			res.Waiting = c.Desk.Waiting(r)
		}
		return res, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	err := c.Desk.Place(waitCtx, r, commit)
	if err != nil && waitCtx.Err() != nil && ctx.Err() == nil {
		return Result{}, nil
	}
	return res, err
}

// Serve answers another entry's [Call]. The code is [codes.Leaving] if ctx ends, which
// means that this entry ends: another owner can place the request.
func (c *Client) Serve(ctx context.Context, call Call) Result {
	res, err := c.place(ctx, call.request(c.Clock.Now()), min(call.Wait, maxWait), func(ch Choice) uint64 {
		defer c.OnWork()
		return c.Ledger.Grant(call.Entry, call.Boot, ch, call.Pieces)
	})
	if err != nil && ctx.Err() != nil {
		return Result{Code: codes.Leaving, Message: "the owner ends"}
	}
	if err != nil {
		e := codes.From(err)
		return Result{Code: e.Code, Message: e.Message, Retry: e.RetryAfter}
	}
	return res
}

// HandleReport processes another entry's report.
func (c *Client) HandleReport(r Report) {
	c.Ledger.Report(r)
	for _, o := range r.Seen[:min(len(r.Seen), maxSeen)] {
		c.Observed(o)
	}
	c.OnWork()
}

// call returns the request as a call.
func (c *Client) call(r Request, wait clock.Millis) Call {
	now := c.Clock.Now()
	barred, leaving := c.notices(r)
	return Call{
		Entry: c.Self.Name, Boot: c.Boot, ID: r.ID, Service: r.Service, Workspace: r.Workspace, Priority: r.Priority,
		Group: r.Group - 1, Centre: r.Centre,
		Tokens: r.Tokens, Output: r.Output, Pieces: r.Pieces, Bytes: r.Bytes, Urgent: r.Urgent, Exported: r.Exported,
		Exclude: r.Exclude, Barred: barred, Leaving: leaving, Full: r.Full, Target: r.Target - now, Latest: r.Latest - now, First: r.TimeToFirstToken, Wait: wait,
	}
}

// request returns the call as a request that was received now.
func (c Call) request(now clock.Millis) Request {
	return Request{
		ID: c.ID, Service: c.Service, Workspace: c.Workspace, Priority: c.Priority, Centre: c.Centre, Tokens: c.Tokens, Output: c.Output, Pieces: c.Pieces, Bytes: c.Bytes,
		Target: now + c.Target, Latest: now + c.Latest, TimeToFirstToken: c.First, Urgent: c.Urgent, Exported: c.Exported,
		Exclude: c.Exclude, Remote: true, Barred: c.Barred, Leaving: c.Leaving, Full: c.Full, Group: c.Group + 1,
	}
}

// notices returns the engines in the request's group that must get nothing from this
// entry, and those that are known to leave.
func (c *Client) notices(r Request) (barred, leaving []string) {
	return notice.Known(c.Desk.Notices, func(engine string) bool {
		service, group, ok := c.GroupOf(engine)
		return ok && service == r.Service && group == r.Group-1
	})
}

// usableGroups returns the groups of a service. If some engines must get nothing from
// this entry, it counts the other decode engines only.
func (c *Client) usableGroups(service string) Groups {
	groups := c.Groups(service)
	notices := c.Desk.Notices
	if notices == nil || !slices.ContainsFunc(notices.Names(), func(engine string) bool {
		_, ok := groups.Of[engine]
		return ok && notices.Status(engine).Barred
	}) {
		return groups
	}
	groups.Decodes = make([]int, groups.N)
	for _, engine := range c.Desk.Pool.Candidates(core.Decode, service, nil, nil) {
		if g, ok := groups.Of[engine.Name]; ok && !notices.Status(engine.Name).Barred {
			groups.Decodes[g]++
		}
	}
	return groups
}

// owner returns the owner of a group, or this entry if all entries are passed over.
func (c *Client) owner(entries []core.Instance, service string, group int) core.Instance {
	if owner, ok := c.finder.Owner(assign.GroupKey(service, group), entries, c.Clock.Now()); ok {
		return owner
	}
	return c.Self
}

// passOver passes over an entry that failed to answer for silentFor.
func (c *Client) passOver(owner core.Instance, err error) {
	c.finder.PassOver(owner.Name, c.Clock.Now(), silentFor)
	c.log().Warn("alloc: an owner did not answer", zap.String("entry", owner.Name), zap.Int64("for", int64(silentFor)), zap.Error(err))
}

// acknowledge adds a placement to the next report to its owner.
func (c *Client) acknowledge(owner string, grant uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.grants == nil {
		c.grants = make(map[string][]uint64)
	}
	c.grants[owner] = append(c.grants[owner], grant)
}

// Observe adds a measurement to the next report.
func (c *Client) Observe(o Observation) {
	if len(c.Entries()) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.seen) < maxSeen {
		c.seen = append(c.seen, o)
	}
}

// Trigger reports this entry's work without waiting for the interval.
func (c *Client) Trigger() { c.changed.Send() }

// Wake places the requests that wait at this entry.
func (c *Client) Wake() { c.Desk.Wake() }

// log returns Log, or a logger that discards everything.
func (c *Client) log() *zap.Logger {
	if c.Log == nil {
		return zap.NewNop()
	}
	return c.Log
}
