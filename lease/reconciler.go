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

// Engines sends orders to engines and reads them back. Both calls are
// idempotent, since an order contains the whole state.
type Engines interface {
	// Order makes the engine adopt a state. Its error has the code
	// [codes.OrderStale] if the engine has received a newer fencing number.
	Order(ctx context.Context, up core.Upstream, order core.EngineOrder) error
	// LastOrder returns the last order that the engine accepted.
	LastOrder(ctx context.Context, up core.Upstream) (core.EngineOrder, error)
}

// Reconciler reconciles engines with their published desired states. The
// engines of one data centre form a group, and the entry that holds the lease
// of a group reconciles its engines. The fields Table, Engines and Owner are
// required.
type Reconciler struct {
	Table   Table
	Engines Engines
	Clock   clock.Clock
	Meter   *meter.Registry
	Log     *zap.Logger
	Owner   core.Owner
	// Centre is the data centre of this entry. The entry takes over the lease
	// of another data centre only if no entry there does.
	Centre string
	// TTL is the TTL of all leases; zero means 9 seconds.
	TTL clock.Millis
	// LoadLimiter limits the rate of orders that make an engine load weights,
	// to protect the weight store; nil means one per second with a burst of
	// ten.
	LoadLimiter *rate.Limiter

	// holders maps each group to the holder of its lease.
	holders     shard.Map[string, *Holder]
	limiterOnce sync.Once
	// rounds counts the rounds, to start each at another engine.
	rounds atomic.Uint64
}

// ReconcileInterval is the interval at which [Reconciler.Reconcile] should be
// called. It is several times shorter than the default TTL.
const ReconcileInterval = 2 * clock.Second

// Limits of one round of reconciliation.
const (
	// roundTimeout limits the time for all orders of a round, so that the
	// leases are renewed in time.
	roundTimeout = 2 * clock.Second
	// engineTimeout limits the duration of one call to an engine.
	engineTimeout = 500 * clock.Millis(1)
	// minRemaining is the time that a lease must remain valid for an order to
	// be sent.
	minRemaining = 1 * clock.Second
	// foreignTTLs is the number of additional TTLs that an entry of another
	// data centre waits before it takes over a lease.
	foreignTTLs = 2
	// loadBurst is the burst of the default LoadLimiter, in orders.
	loadBurst = 10
	// maxConcurrentCalls limits the engines reconciled concurrently.
	maxConcurrentCalls = 8
)

// Reconcile renews or acquires the lease of each group with desired states in
// doc, and reconciles the engines of the groups whose lease this entry holds.
func (r *Reconciler) Reconcile(ctx context.Context, doc *core.Document) {
	groups := groupByCentre(doc)
	if len(groups) == 0 {
		return
	}
	r.renewLeases(ctx, groups, doc.Version)
	ctx, cancel := context.WithTimeout(ctx, roundTimeout.Duration())
	defer cancel()
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for _, t := range r.heldTargets(groups) {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			r.reconcileEngine(ctx, r.holder(t.up.Centre), t, doc.Version)
		})
	}
	wait.Wait()
}

// renewLeases reads the rows of all leases in one call, and then renews or
// acquires each lease.
func (r *Reconciler) renewLeases(ctx context.Context, groups map[string][]target, version int64) {
	var holders []*Holder
	var keys []string
	for name := range groups {
		h := r.holder(name)
		holders = append(holders, h)
		keys = append(keys, h.key())
	}
	rows, err := r.Table.Read(ctx, keys...)
	if err != nil {
		r.Meter.Add("lease_failures_total", 1, "code", codes.From(err).Code.String())
		return
	}
	for _, h := range holders {
		if err := h.renewOrAcquire(ctx, rows, version); err != nil {
			r.Meter.Add("lease_failures_total", 1, "code", codes.From(err).Code.String())
		}
	}
}

// heldTargets returns the targets of the groups whose lease this entry holds.
// Each round starts at a different target, so that unresponsive engines, which
// use up the time of a round, can't starve the others.
func (r *Reconciler) heldTargets(groups map[string][]target) []target {
	var held []target
	for name, targets := range groups {
		if _, remaining := r.holder(name).Held(); remaining >= minRemaining {
			held = append(held, targets...)
		}
	}
	sort.Slice(held, func(i, j int) bool { return held[i].up.Name < held[j].up.Name })
	if len(held) == 0 {
		return nil
	}
	first := int(r.rounds.Add(1)*maxConcurrentCalls) % len(held)
	return append(held[first:], held[:first]...)
}

// target is an engine with its desired state.
type target struct {
	up    core.Upstream
	state core.Desired
}

// groupByCentre returns the targets of doc by data centre.
func groupByCentre(doc *core.Document) map[string][]target {
	groups := make(map[string][]target)
	for _, d := range doc.Desired {
		if up, ok := doc.Upstream(d.Upstream); ok && up.Role != core.Service {
			groups[up.Centre] = append(groups[up.Centre], target{up, d})
		}
	}
	return groups
}

// holder returns the lease holder of a group and creates it if needed.
func (r *Reconciler) holder(group string) *Holder {
	var h *Holder
	r.holders.Update(group, func(old *Holder, ok bool) (*Holder, bool) {
		if !ok {
			old = &Holder{Table: r.Table, Clock: r.Clock, Meter: r.Meter, Owner: r.Owner, Group: group, TTL: r.TTL}
			if group != r.Centre {
				old.TakeoverDelay = foreignTTLs * old.ttlOrDefault()
			}
		}
		h = old
		return old, true
	})
	return h
}

// reconcileEngine reads the last order of an engine, and orders the desired
// state if it differs or if the engine hasn't received the current fencing
// number.
func (r *Reconciler) reconcileEngine(ctx context.Context, h *Holder, t target, version int64) {
	if _, remaining := h.Held(); remaining < minRemaining || ctx.Err() != nil {
		return
	}
	last, err := r.lastOrder(ctx, t.up)
	if err != nil {
		r.Meter.Add("engine_order_failures_total", 1, "code", codes.From(err).Code.String())
		return
	}
	same := sameState(last.State, t.state)
	row, _ := h.Held()
	if same && (!t.up.Fences || last.Fence >= row.Fence) {
		return
	}
	if needsLoad(last.State, t.state) && !r.limiter().AllowN(time.UnixMilli(int64(r.Clock.Now())), 1) {
		r.Meter.Add("engine_loads_delayed_total", 1)
		return
	}
	if err := r.sendOrder(ctx, h, t, version); err != nil {
		r.Meter.Add("engine_order_failures_total", 1, "code", codes.From(err).Code.String())
		r.logger().Warn("lease: order to an engine failed", zap.String("upstream", t.up.Name), zap.Error(err))
		return
	}
	r.Meter.Add("engine_orders_total", 1)
}

// lastOrder reads the last order of an engine, within engineTimeout.
func (r *Reconciler) lastOrder(ctx context.Context, up core.Upstream) (core.EngineOrder, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout.Duration())
	defer cancel()
	return r.Engines.LastOrder(ctx, up)
}

// sendOrder sends one order. The time until the lease expires is checked right
// before and limits the call, since the process may have been paused after the
// last renewal.
func (r *Reconciler) sendOrder(ctx context.Context, h *Holder, t target, version int64) error {
	row, remaining := h.Held()
	if remaining < minRemaining || version < row.DocVersion {
		return codes.New(codes.LeaseLost, "lease %s", h.Group)
	}
	ctx, cancel := context.WithTimeout(ctx, min(remaining, engineTimeout).Duration())
	defer cancel()
	return r.Engines.Order(ctx, t.up, core.EngineOrder{Fence: row.Fence, State: t.state})
}

// sameState reports whether two states are equal, ignoring the order of models
// and adapters.
func sameState(a, b core.Desired) bool {
	return a.Role == b.Role && sameSet(a.Models, b.Models) && sameSet(a.Adapters, b.Adapters)
}

// sameSet reports whether a and b have the same elements, in any order.
func sameSet(a, b []string) bool {
	return len(a) == len(b) && containsAll(a, b) && containsAll(b, a)
}

// containsAll reports whether all contains every element of want.
func containsAll(all, want []string) bool {
	for _, w := range want {
		if !slices.Contains(all, w) {
			return false
		}
	}
	return true
}

// needsLoad reports whether an engine must load weights to change from one
// state to the other.
func needsLoad(from, to core.Desired) bool {
	return !containsAll(from.Models, to.Models) || !containsAll(from.Adapters, to.Adapters)
}

// limiter returns LoadLimiter, and sets it to its default if it is nil.
func (r *Reconciler) limiter() *rate.Limiter {
	r.limiterOnce.Do(func() {
		if r.LoadLimiter == nil {
			r.LoadLimiter = rate.NewLimiter(1, loadBurst)
		}
	})
	return r.LoadLimiter
}

// logger returns Log, or a logger that discards everything if it is nil.
func (r *Reconciler) logger() *zap.Logger {
	if r.Log == nil {
		return zap.NewNop()
	}
	return r.Log
}

// Release releases all leases that this entry holds.
func (r *Reconciler) Release(ctx context.Context) {
	for _, h := range r.holders.Values() {
		if err := h.Release(ctx); err != nil {
			r.logger().Warn("lease: release failed", zap.String("lease", h.Group), zap.Error(err))
		}
	}
}
