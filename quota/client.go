package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/shard"
)

// Peers calls other entries.
type Peers interface {
	// AskQuota sends an ask to the entry at addr. An error that wraps
	// [syscall.ECONNREFUSED] proves that no process listens there.
	AskQuota(ctx context.Context, addr string, a Ask) (Answer, error)
}

// Client holds the requests of this entry to the limits of their workspaces, and answers
// other entries. Self, Peers, Entries and Table are required.
type Client struct {
	// Self is this entry.
	Self  core.Instance
	Peers Peers
	// Entries returns the entries that may be owners: the same at all entries that have the
	// same list, and none until this entry has one.
	Entries func() []core.Instance
	Table   Table
	// Workspaces, if not nil, returns those that have a limit. This entry then asks for the
	// buckets of those that it comes to own while the owner before still runs.
	Workspaces func() []string
	Policy     Policy
	// Fresh means that the whole system starts for the first time, so that no requests
	// ran before.
	Fresh bool
	Clock clock.Clock
	Meter *meter.Registry
	Log   *zap.Logger

	// viewMu serializes the changes of views.
	viewMu sync.Mutex
	views  atomic.Pointer[views]
	// started is the instant of the first list, which viewMu guards.
	started clock.Millis
	// claims, released and gone belong to the workspaces that this entry decides for.
	claims   shard.Map[string, *claim]
	released shard.Map[string, release]
	gone     shard.Map[string, absence]
	// silent holds, by name, until when an entry that did not answer is passed over.
	silent shard.Map[string, clock.Millis]
	// tenants holds what this entry has of each workspace.
	tenants shard.Map[string, *tenant]
}

// Timing of the asks.
const (
	// askTimeout bounds the answer of one entry, and askTotal that of all that are asked
	// for one request: plain calls have targets of 150 ms.
	askTimeout clock.Millis = 100
	askTotal   clock.Millis = 150
	// silentFor is how long an entry that did not answer is passed over, and endedFor how
	// long one whose address refused a connection is, which may start again.
	silentFor clock.Millis = 2000
	endedFor  clock.Millis = 500
	// returnInterval is the interval at which unused tokens are returned.
	returnInterval clock.Millis = 250
	// idleTime is the time without requests after which a workspace is forgotten.
	idleTime clock.Millis = 60_000
	// maxBatch bounds the requests in one ask.
	maxBatch = 64
	// minJitter is the least random time that is added to a Retry-After, and jitterShare
	// its share of it.
	minJitter   clock.Millis = 50
	jitterShare clock.Millis = 4
	// localRetry is the time after which to try again where no owner was reached.
	localRetry clock.Millis = 500
)

// Taken is the tokens that a request has taken.
type Taken struct {
	Workspace string
	Cost      float64
	// By names the entry that granted them, at the instant At.
	By string
	At clock.Millis
	// Over means that they are beyond the limit, within what is tolerated: the request
	// runs behind all others.
	Over bool
}

// tenant is what this entry has of one workspace. mu guards all fields.
type tenant struct {
	mu sync.Mutex
	// lease was granted by the entry named by, at the instant granted.
	lease   Lease
	by      string
	granted clock.Millis
	demand  Demand
	// waiting are the requests to ask for next. asking is set while an ask is under way.
	waiting []*waiter
	asking  bool
	// returns are the tokens to give back, by the entry that granted them.
	returns map[string]surplus
	// share is this entry's own share, nil unless it has reached no owner.
	share *Bucket
}

// surplus is tokens to give back, the oldest of which were granted at the instant since.
type surplus struct {
	tokens float64
	since  clock.Millis
}

// waiter is a request that waits for an answer.
type waiter struct {
	cost float64
	// left is set if the request has ended. result has a buffer of one.
	left   bool
	result chan result
}

// result is the outcome for a waiter.
type result struct {
	ok    bool
	over  bool
	by    string
	at    clock.Millis
	level float64
	age   clock.Millis
	retry clock.Millis
}

// localDecision is who has decided if no owner was reached.
const localDecision = "local"

// Take takes the tokens of a request. The error is [codes.RateLimited] if the workspace
// has too few. A request without a limit takes none.
func (c *Client) Take(ctx context.Context, r *core.Request) (Taken, error) {
	if r.Workspace == "" || r.Limit.Rate <= 0 || r.Cost <= 0 {
		return Taken{}, nil
	}
	now := c.Clock.Now()
	t := c.tenants.Ensure(r.Workspace, func() *tenant { return &tenant{returns: make(map[string]surplus)} })
	t.mu.Lock()
	t.demand.Add(r.Cost, now)
	if len(t.waiting) == 0 && t.lease.Take(r.Cost, now) {
		taken := Taken{Workspace: r.Workspace, Cost: r.Cost, By: t.by, At: t.granted}
		t.mu.Unlock()
		c.Meter.Add("quota_taken_total", 1, "from", "lease")
		return taken, nil
	}
	w := &waiter{cost: r.Cost, result: make(chan result, 1)}
	t.waiting = append(t.waiting, w)
	if !t.asking {
		t.asking = true
		go c.askAll(r.Workspace, r.Limit, t)
	}
	t.mu.Unlock()
	select {
	case res := <-w.result:
		if res.ok {
			from := "owner"
			if res.by == localDecision {
				from = localDecision
			}
			c.Meter.Add("quota_taken_total", 1, "from", from)
			if res.over {
				c.Meter.Add("quota_over_total", 1, "workspace", r.Workspace)
			}
			return Taken{Workspace: r.Workspace, Cost: r.Cost, By: res.by, At: res.at, Over: res.over}, nil
		}
		return Taken{}, c.refuse(r, res)
	case <-ctx.Done():
		t.leave(w)
		return Taken{}, codes.From(context.Cause(ctx)).WithRun(codes.NotRun)
	}
}

// refuse returns the error of a refused request, and logs it.
func (c *Client) refuse(r *core.Request, res result) error {
	retry := res.retry + rand.N(max(minJitter, res.retry/jitterShare))
	by := "owner"
	if res.by == localDecision {
		by = localDecision
	}
	c.Meter.Add("quota_refused_total", 1, "workspace", r.Workspace, "by", by)
	id := ""
	if r.Opaque != nil {
		id = r.Opaque.ID
	}
	c.log().Info("quota: request refused", zap.String("request", id), zap.String("workspace", r.Workspace), zap.Float64("cost", r.Cost), zap.Float64("rate", r.Limit.Rate), zap.Float64("burst", r.Limit.Burst),
		zap.String("by", res.by), zap.Float64("level", res.level), zap.Int64("age", int64(res.age)), zap.Int64("retry", int64(retry)))
	return codes.New(codes.RateLimited, "workspace %q is over its limit", r.Workspace).WithRetryAfter(retry)
}

// leave removes a request that has ended from those that wait.
func (t *tenant) leave(w *waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.left = true
	select {
	case res := <-w.result:
		if res.ok {
			t.giveBack(res.by, w.cost, res.at)
		}
	default:
		t.waiting = slices.DeleteFunc(t.waiting, func(o *waiter) bool { return o == w })
	}
}

// Return gives back the tokens of a request that did not run.
func (c *Client) Return(taken Taken) {
	if taken.Cost <= 0 {
		return
	}
	if t, ok := c.tenants.Get(taken.Workspace); ok {
		t.mu.Lock()
		t.giveBack(taken.By, taken.Cost, taken.At)
		t.mu.Unlock()
		c.Meter.Add("quota_returned_total", 1)
	}
}

// giveBack notes tokens to give back. The caller holds t.mu.
func (t *tenant) giveBack(by string, tokens float64, granted clock.Millis) {
	if tokens <= 0 || by == "" {
		return
	}
	if by == localDecision {
		// The share of one entry is so small that the tokens aren't worth the account.
		return
	}
	s, ok := t.returns[by]
	if !ok || granted < s.since {
		s.since = granted
	}
	s.tokens += tokens
	t.returns[by] = s
}

// endLease gives back what is left of the lease. The caller holds t.mu.
func (t *tenant) endLease() {
	t.giveBack(t.by, t.lease.Tokens, t.granted)
	t.lease = Lease{}
}

// askAll asks for the requests that wait until there are none.
func (c *Client) askAll(workspace string, limit core.Limit, t *tenant) {
	for {
		t.mu.Lock()
		if len(t.waiting) == 0 {
			t.asking = false
			t.mu.Unlock()
			return
		}
		n := min(len(t.waiting), maxBatch)
		batch := t.waiting[:n:n]
		t.waiting = slices.Clone(t.waiting[n:])
		t.endLease()
		item := Item{Workspace: workspace, Extra: t.demand.Expected(c.Policy.Lease())}
		for _, w := range batch {
			item.Costs = append(item.Costs, w.cost)
		}
		t.mu.Unlock()
		asked := c.Clock.Now()
		g, by := c.decide(item, limit, t)
		c.settle(t, batch, g, by, asked)
	}
}

// settle passes a grant on to the requests that it is for. A lease ends by the instant at
// which it was asked for, before the owner expects it. Tokens that are returned count from
// the answer: from the ask on, the bucket may have been full before they were taken, and the
// owner would not put them back.
func (c *Client) settle(t *tenant, batch []*waiter, g Grant, by string, asked clock.Millis) {
	answered := c.Clock.Now()
	age := answered - asked
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, w := range batch {
		res := result{ok: true, over: slices.Contains(g.Over, i), by: by, at: answered, level: g.Level, age: age}
		if at := slices.Index(g.Refused, i); at >= 0 {
			res.ok = false
			if at < len(g.Retry) {
				res.retry = g.Retry[at]
			}
		}
		if w.left && res.ok {
			t.giveBack(by, w.cost, answered)
			continue
		}
		w.result <- res
	}
	if g.Extra > 0 {
		t.lease, t.by, t.granted = Lease{Tokens: g.Extra, Until: asked + c.Policy.Lease()}, by, answered
	}
}

// decide asks the owner of a workspace and its successors, and decides by this entry's own
// share if it reaches none that decides.
func (c *Client) decide(item Item, limit core.Limit, t *tenant) (Grant, string) {
	ctx, cancel := context.WithTimeout(context.Background(), askTotal.Duration())
	defer cancel()
	v := c.current()[0]
	for _, in := range v.ranked(item.Workspace) {
		if ctx.Err() != nil {
			break
		}
		if c.passedOver(in.Name) {
			continue
		}
		t.takeReturn(in.Name, &item, c.Clock.Now())
		g, err := c.ask(ctx, in, item)
		if err != nil {
			d := silentFor
			if refusedConnection(err) {
				d = endedFor
			}
			c.passOver(in, d, err)
			continue
		}
		if g.State == Decided {
			return g, in.Name
		}
	}
	return c.decideLocally(item, limit, len(v.entries), t), localDecision
}

// ask asks one entry, which may be this one.
func (c *Client) ask(ctx context.Context, in core.Instance, item Item) (Grant, error) {
	if in.Name == c.Self.Name {
		return c.serve(ctx, Ask{From: c.Self}, item), nil
	}
	return c.askOne(ctx, in, askTimeout, false, item)
}

// askOne sends an ask with one item.
func (c *Client) askOne(ctx context.Context, in core.Instance, timeout clock.Millis, relayed bool, item Item) (Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	c.Meter.Add("quota_asks_total", 1)
	a, err := c.Peers.AskQuota(ctx, in.Peer, Ask{From: core.Instance{Name: c.Self.Name, Peer: c.Self.Peer}, Relayed: relayed, Items: []Item{item}})
	switch {
	case err != nil:
		return Grant{}, err
	case len(a.Grants) != 1:
		return Grant{}, codes.New(codes.Internal, "entry %s: %d grants for one item", in.Name, len(a.Grants))
	}
	return a.Grants[0], nil
}

// takeReturn moves the tokens that an entry has granted from those to give back to the item.
func (t *tenant) takeReturn(by string, item *Item, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.returns[by]
	delete(t.returns, by)
	item.Return, item.Age = s.tokens, now-s.since
	if s.tokens <= 0 {
		item.Age = 0
	}
}

// decideLocally decides by this entry's own share.
func (c *Client) decideLocally(item Item, limit core.Limit, entries int, t *tenant) Grant {
	now := c.Clock.Now()
	share := c.Policy.Share(limit, entries)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.share == nil {
		t.share = NewBucket(share, share.Burst, now)
	}
	t.share.Advance(share, now)
	g := Grant{State: Decided}
	for i, cost := range item.Costs {
		if !t.share.TakeShare(cost, rand.Float64()) {
			g.Refused = append(g.Refused, i)
			g.Retry = append(g.Retry, localRetry+rand.N(localRetry))
		}
	}
	g.Level = t.share.Level()
	return g
}

// passedOver reports whether an entry did not answer shortly before.
func (c *Client) passedOver(name string) bool {
	until, ok := c.silent.Get(name)
	return ok && c.Clock.Now() < until
}

// passOver passes over an entry that did not answer for d.
func (c *Client) passOver(in core.Instance, d clock.Millis, err error) {
	c.silent.Set(in.Name, c.Clock.Now()+d)
	c.Meter.Add("quota_silent_total", 1)
	c.log().Warn("quota: an owner did not answer", zap.String("entry", in.Name), zap.Int64("for", int64(d)), zap.Error(err))
}

// Run follows the list of entries, takes over the workspaces that this entry comes to own
// and returns unused tokens, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.current()
	c.Clock.Every(ctx, returnInterval, c.maintain)
}

// maintain does what is due at each interval.
func (c *Client) maintain(ctx context.Context) {
	c.takeOver(ctx)
	c.returnUnused(ctx)
}

// takeOver asks for the buckets of the workspaces that this entry has come to own.
func (c *Client) takeOver(ctx context.Context) {
	if c.Workspaces == nil {
		return
	}
	vs := c.current()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, workspace := range c.Workspaces() {
		if vs[0].owner(workspace, c.Self.Name) {
			wg.Go(func() { c.claim(ctx, vs, workspace) })
		}
	}
}

// returnUnused gives back what has not been used, in one message for each entry that has
// granted it.
func (c *Client) returnUnused(ctx context.Context) {
	v := c.current()[0]
	now := c.Clock.Now()
	asks := make(map[string]*Ask)
	c.tenants.Each(func(workspace string, t *tenant) bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		if now >= t.lease.Until {
			t.endLease()
		}
		if len(t.returns) == 0 && len(t.waiting) == 0 && !t.asking && now >= t.demand.at+idleTime {
			return false
		}
		for by, s := range t.returns {
			delete(t.returns, by)
			if asks[by] == nil {
				asks[by] = &Ask{From: core.Instance{Name: c.Self.Name, Peer: c.Self.Peer}}
			}
			asks[by].Items = append(asks[by].Items, Item{Workspace: workspace, Return: s.tokens, Age: now - s.since})
		}
		return true
	})
	var wg sync.WaitGroup
	defer wg.Wait()
	for by, a := range asks {
		if by == c.Self.Name {
			c.Serve(ctx, *a)
			continue
		}
		i := slices.IndexFunc(v.entries, func(in core.Instance) bool { return in.Name == by })
		if i < 0 {
			continue
		}
		wg.Go(func() { c.sendReturns(ctx, v.entries[i], *a) })
	}
}

// sendReturns sends tokens back. If that fails, they are lost to the workspace: they may
// have arrived, and must not be put back twice.
func (c *Client) sendReturns(ctx context.Context, in core.Instance, a Ask) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	c.Meter.Add("quota_asks_total", 1)
	if _, err := c.Peers.AskQuota(ctx, in.Peer, a); err != nil && ctx.Err() == nil {
		c.log().Info("quota: returning tokens failed", zap.String("entry", in.Name), zap.Int("workspaces", len(a.Items)), zap.Error(err))
	}
}

// current returns the lists of entries, after it has taken note of a new one.
func (c *Client) current() views {
	entries := c.Entries()
	if vs := c.views.Load(); vs != nil && (*vs)[0].same(entries) {
		return *vs
	}
	c.viewMu.Lock()
	defer c.viewMu.Unlock()
	var vs views
	now := c.Clock.Now()
	if old := c.views.Load(); old != nil {
		vs = *old
	} else {
		c.started = now
	}
	if len(vs) > 0 && vs[0].same(entries) {
		return vs
	}
	if len(vs) == 1 && len(vs[0].entries) == 0 {
		// This is the first list.
		vs = nil
	}
	vs = vs.with(&view{entries: entries, at: now})
	c.views.Store(&vs)
	return vs
}

// startedAt returns the instant of the first list.
func (c *Client) startedAt() clock.Millis {
	c.viewMu.Lock()
	defer c.viewMu.Unlock()
	return c.started
}

// log returns Log, or a logger that discards everything.
func (c *Client) log() *zap.Logger {
	if c.Log == nil {
		return zap.NewNop()
	}
	return c.Log
}
