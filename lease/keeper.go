package lease

import (
	"context"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/shard"
)

// Engines are the calls that bring an engine to a state. Both are idempotent:
// an order carries the whole state.
type Engines interface {
	// Order tells the engine to bring itself to the state. Its error is
	// [codes.OrderStale] if the engine has seen a newer fencing number.
	Order(ctx context.Context, up core.Upstream, order core.Order) error
	// Ordered returns the last order that the engine took.
	Ordered(ctx context.Context, up core.Upstream) (core.Order, error)
}

// Keeper brings the engines to their published states, group by group, where
// this entry holds the group's lease. A group is the engines of one data
// centre. Table, Engines and Owner are needed.
type Keeper struct {
	Table   Table
	Engines Engines
	Clock   clock.Clock
	Meter   *meter.Set
	Log     *zap.Logger
	Owner   core.Owner
	// Centre is this entry's data centre. Leases of other data centres are
	// taken over only when no entry of theirs does.
	Centre string
	// Span is that of every lease; zero is 9 seconds.
	Span clock.Millis
	// Loads limits the orders that make an engine load weights, so that they
	// are spread under the weight store's rate; nil is one a second, ten at
	// once.
	Loads *rate.Limiter

	holders shard.Map[string, *Holder]
	once    sync.Once
	rounds  atomic.Uint64
}

// RoundEvery is how often [Keeper.Round] is to be called: several times in
// the default span.
const RoundEvery = 2 * clock.Second

// Bounds of a round.
const (
	// roundTimeout bounds the orders of one round, so that the lease is
	// renewed in time.
	roundTimeout = 2 * clock.Second
	// engineTimeout bounds one call of an engine.
	engineTimeout = 500 * clock.Millis(1)
	// minRest is the least rest of a lease with which an order is begun.
	minRest = 1 * clock.Second
	// foreignSpans is how many spans longer an entry of another data centre
	// waits before it takes a lease over.
	foreignSpans = 2
	loadsBurst   = 10
	// ordersAtOnce bounds the engines that are looked at beside each other.
	ordersAtOnce = 8
)

// Round tends the lease of each group that has desired states in doc, and
// carries out those whose lease this entry holds.
func (k *Keeper) Round(ctx context.Context, doc *core.Document) {
	groups := grouped(doc)
	if len(groups) == 0 {
		return
	}
	k.tend(ctx, groups, doc.Version)
	ctx, cancel := context.WithTimeout(ctx, roundTimeout.Std())
	defer cancel()
	var wait sync.WaitGroup
	slots := make(chan struct{}, ordersAtOnce)
	for _, g := range k.rotated(groups) {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			k.assert(ctx, k.holder(g.up.Centre), g, doc.Version)
		})
	}
	wait.Wait()
}

// tend reads the rows of all leases at once and tends each.
func (k *Keeper) tend(ctx context.Context, groups map[string][]goal, version int64) {
	var holders []*Holder
	var keys []string
	for name := range groups {
		h := k.holder(name)
		holders = append(holders, h)
		keys = append(keys, h.key())
	}
	rows, err := k.Table.Read(ctx, keys...)
	if err != nil {
		k.Meter.Add("lease_failures_total", 1, "code", codes.From(err).Code.String())
		return
	}
	for _, h := range holders {
		if err := h.tend(ctx, rows, version); err != nil {
			k.Meter.Add("lease_failures_total", 1, "code", codes.From(err).Code.String())
		}
	}
}

// rotated returns the goals of the groups whose lease is held. Each round
// begins at another one, so that engines which don't answer and use up a
// round's time keep no other from its turn.
func (k *Keeper) rotated(groups map[string][]goal) []goal {
	var goals []goal
	for name, g := range groups {
		if _, rest := k.holder(name).Held(); rest >= minRest {
			goals = append(goals, g...)
		}
	}
	sort.Slice(goals, func(i, j int) bool { return goals[i].up.Name < goals[j].up.Name })
	if len(goals) == 0 {
		return nil
	}
	first := int(k.rounds.Add(1)*ordersAtOnce) % len(goals)
	return append(goals[first:], goals[:first]...)
}

// goal is an engine and the state it is to have.
type goal struct {
	up    core.Upstream
	state core.Desired
}

func grouped(doc *core.Document) map[string][]goal {
	groups := make(map[string][]goal)
	for _, d := range doc.Desired {
		if up, ok := doc.Upstream(d.Upstream); ok && up.Role != core.Service {
			groups[up.Centre] = append(groups[up.Centre], goal{up, d})
		}
	}
	return groups
}

func (k *Keeper) holder(group string) *Holder {
	var h *Holder
	k.holders.Update(group, func(old *Holder, ok bool) (*Holder, bool) {
		if !ok {
			old = &Holder{Table: k.Table, Clock: k.Clock, Meter: k.Meter, Owner: k.Owner, Group: group, Span: k.Span}
			if group != k.Centre {
				old.Wait = foreignSpans * old.span()
			}
		}
		h = old
		return old, true
	})
	return h
}

// assert reads an engine's state back and orders the desired one where it
// differs, or where the engine has yet to learn the fencing number.
func (k *Keeper) assert(ctx context.Context, h *Holder, g goal, version int64) {
	if _, rest := h.Held(); rest < minRest || ctx.Err() != nil {
		return
	}
	found, err := k.ordered(ctx, g.up)
	if err != nil {
		k.Meter.Add("engine_order_failures_total", 1, "code", codes.From(err).Code.String())
		return
	}
	same := equal(found.State, g.state)
	row, _ := h.Held()
	if same && (!g.up.Fences || found.Fence >= row.Fence) {
		return
	}
	if loads(found.State, g.state) && !k.limiter().AllowN(time.UnixMilli(int64(k.Clock.Now())), 1) {
		k.Meter.Add("engine_loads_delayed_total", 1)
		return
	}
	if err := k.order(ctx, h, g, version); err != nil {
		k.Meter.Add("engine_order_failures_total", 1, "code", codes.From(err).Code.String())
		k.log().Warn("lease: an order was not carried out", zap.String("upstream", g.up.Name), zap.Error(err))
		return
	}
	k.Meter.Add("engine_orders_total", 1)
}

func (k *Keeper) ordered(ctx context.Context, up core.Upstream) (core.Order, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout.Std())
	defer cancel()
	return k.Engines.Ordered(ctx, up)
}

// order sends one order. The lease's rest is looked at right before, and
// bounds the call: the holder may have been paused since it was renewed.
func (k *Keeper) order(ctx context.Context, h *Holder, g goal, version int64) error {
	row, rest := h.Held()
	if rest < minRest || version < row.Version {
		return codes.New(codes.LeaseLost, "lease %s", h.Group)
	}
	ctx, cancel := context.WithTimeout(ctx, min(rest, engineTimeout).Std())
	defer cancel()
	return k.Engines.Order(ctx, g.up, core.Order{Fence: row.Fence, State: g.state})
}

func equal(a, b core.Desired) bool {
	return a.Role == b.Role && sameSet(a.Models, b.Models) && sameSet(a.Adapters, b.Adapters)
}

func sameSet(a, b []string) bool {
	return len(a) == len(b) && contains(a, b) && contains(b, a)
}

// contains reports whether every one of want is in all.
func contains(all, want []string) bool {
	for _, w := range want {
		if !slices.Contains(all, w) {
			return false
		}
	}
	return true
}

// loads reports whether an engine in the first state must load weights to
// come to the second.
func loads(from, to core.Desired) bool {
	return !contains(from.Models, to.Models) || !contains(from.Adapters, to.Adapters)
}

func (k *Keeper) limiter() *rate.Limiter {
	k.once.Do(func() {
		if k.Loads == nil {
			k.Loads = rate.NewLimiter(1, loadsBurst)
		}
	})
	return k.Loads
}

func (k *Keeper) log() *zap.Logger {
	if k.Log == nil {
		return zap.NewNop()
	}
	return k.Log
}

// Release gives up every lease that is held.
func (k *Keeper) Release(ctx context.Context) {
	for _, h := range k.holders.Values() {
		if err := h.Release(ctx); err != nil {
			k.log().Warn("lease: a lease was not given up", zap.String("lease", h.Group), zap.Error(err))
		}
	}
}
