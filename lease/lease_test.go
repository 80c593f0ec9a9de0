package lease_test

import (
	"context"
	"flag"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/engine"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/lease"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/pltsim"
)

// seed is the seed of the model check unless -rapid.seed sets another.
const seed = "20261204"

// TestMain sets the default seed and fails if a goroutine leaks.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", seed)
	}
	goleak.VerifyTestMain(m)
}

// errLost is the error of a commit whose outcome is unknown to the holder.
var errLost = codes.New(codes.PlatformDown, "lost").WithRun(codes.Unknown)

// faultyTable is one holder's access to the table, with injected faults.
type faultyTable struct {
	table *pltsim.Table
	// before and after are called once, before and after the next commit. An
	// error of before delays the commit, and an error of after loses its
	// answer.
	before, after func() error
	// delayed holds the delayed commits.
	delayed []func()
}

// Read never fails.
func (p *faultyTable) Read(_ context.Context, keys ...string) ([]core.Row, error) {
	return p.table.Read(keys), nil
}

// Commit calls before and after around the commit.
func (p *faultyTable) Commit(_ context.Context, writes ...core.Write) (core.CommitResult, error) {
	if err := runOnce(&p.before); err != nil {
		p.delayed = append(p.delayed, func() { _, _ = p.table.Commit(writes) })
		return core.CommitResult{}, err
	}
	done, err := p.table.Commit(writes)
	if lost := runOnce(&p.after); lost != nil {
		return core.CommitResult{}, lost
	}
	return done, err
}

// runOnce calls *f, if set, and clears it.
func runOnce(f *func() error) error {
	if *f == nil {
		return nil
	}
	g := *f
	*f = nil
	return g()
}

// loseWrite simulates a lost message.
func loseWrite() error { return errLost }

// TestModelOneHolder checks that two entries never hold one lease at the same
// time or with the same fencing number, while writes are lost, arrive late, or
// take longer than the TTL.
func TestModelOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		manual := &clock.Manual{}
		manual.Advance(clock.Second)
		table := &pltsim.Table{}
		var tables [2]*faultyTable
		var holders [2]*lease.Holder
		for i := range holders {
			tables[i] = &faultyTable{table: table}
			holders[i] = &lease.Holder{
				Table: tables[i], Clock: clock.Clock{Manual: manual}, Group: "g",
				Owner: core.Owner{Instance: "entry", Boot: uint64(i + 1)},
			}
		}
		fences := make(map[int64]int)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			i := rapid.IntRange(0, 1).Draw(rt, "holder")
			h, p := holders[i], tables[i]
			pause := clock.Millis(rapid.IntRange(0, 10).Draw(rt, "pause")) * clock.Second
			switch rapid.IntRange(0, 7).Draw(rt, "action") {
			case 7:
				// The holder is paused between the write and its answer, and
				// the other entry reads the row in the meantime.
				p.after = func() error {
					for range 2 {
						_ = holders[1-i].RenewOrAcquire(context.Background(), 1)
						manual.Advance(pause)
					}
					return nil
				}
				_ = h.RenewOrAcquire(context.Background(), 1)
			case 0:
				manual.Advance(pause)
			case 1:
				p.before = loseWrite
				_ = h.RenewOrAcquire(context.Background(), 1)
			case 2:
				p.after = loseWrite
				_ = h.RenewOrAcquire(context.Background(), 1)
			case 3:
				p.before = func() error { manual.Advance(pause); return nil }
				_ = h.RenewOrAcquire(context.Background(), 1)
			case 4:
				for _, commit := range p.delayed {
					commit()
				}
				p.delayed = nil
			case 5:
				_ = h.Release(context.Background())
			default:
				_ = h.RenewOrAcquire(context.Background(), 1)
			}
			held := 0
			for j, h := range holders {
				row, remaining := h.Held()
				if remaining == 0 {
					continue
				}
				held++
				if other, ok := fences[row.Fence]; ok && other != j {
					rt.Fatalf("two holders had the fencing number %d", row.Fence)
				}
				fences[row.Fence] = j
			}
			if held > 1 {
				rt.Fatal("both hold the lease")
			}
		}
	})
}

// pausableEngines delays the next order until the test resumes it, like an
// order of a holder that is paused right before it sends.
type pausableEngines struct {
	engine.Client
	pause chan struct{}
	begun chan struct{}
}

// Order waits until pause is closed, the first time, and then sends the order.
func (p *pausableEngines) Order(ctx context.Context, up core.Upstream, o core.EngineOrder) error {
	if p.pause != nil {
		close(p.begun)
		<-p.pause
		p.pause = nil
		ctx = context.WithoutCancel(ctx)
	}
	return p.Client.Order(ctx, up, o)
}

// document returns a document that assigns the model to the engine.
func document(up core.Upstream, version int64, model string) *core.Document {
	return &core.Document{
		Version: version, Upstreams: []core.Upstream{up},
		Desired: []core.Desired{{Upstream: up.Name, Models: []string{model}}},
	}
}

// orderedModels returns the models of the engine's last order.
func orderedModels(t *testing.T, up core.Upstream) string {
	o, err := (&engine.Client{}).LastOrder(context.Background(), up)
	is.New(t).NoErr(err)
	return strings.Join(o.State.Models, " ")
}

// TestPromise checks that a holder that was paused past the end of its lease can't
// change an engine permanently: an engine that checks fencing numbers rejects its
// order, and the current holder replaces it at any other.
func TestPromise(t *testing.T) {
	for _, c := range []struct {
		name   string
		fences bool
		// stale is the model of the engine after the order of the resumed
		// holder, whose lease has expired.
		stale string
	}{
		{"holder paused past its lease, engine checks fencing numbers", true, "new"},
		{"holder paused past its lease, engine does not check", false, "old"},
	} {
		t.Run("orders to engines/"+c.name, func(t *testing.T) {
			is := is.New(t)
			e := &fake.Engine{Name: "decode-1", Role: core.Decode, CheckFence: c.fences}
			srv := httptest.NewServer(e.Handler())
			defer srv.Close()
			up := core.Upstream{Name: e.Name, Addr: srv.Listener.Addr().String(), Role: core.Decode, Fences: c.fences}
			ctx, manual, table := context.Background(), &clock.Manual{}, &pltsim.Table{}
			manual.Advance(clock.Second)
			engines := &pausableEngines{pause: make(chan struct{}), begun: make(chan struct{})}
			reconciler := func(boot uint64, engines lease.Engines) *lease.Reconciler {
				return &lease.Reconciler{
					Table: &faultyTable{table: table}, Engines: engines, Clock: clock.Clock{Manual: manual},
					Owner: core.Owner{Instance: "entry", Boot: boot}, Meter: &meter.Registry{},
				}
			}
			old, present := reconciler(1, engines), reconciler(2, &engine.Client{})
			woken := make(chan struct{})
			go func() {
				defer close(woken)
				old.Reconcile(ctx, document(up, 1, "old"))
			}()
			<-engines.begun
			present.Reconcile(ctx, document(up, 2, "new"))
			is.Equal(orderedModels(t, up), "") // the lease hasn't expired
			manual.Advance(9 * clock.Second)
			present.Reconcile(ctx, document(up, 2, "new"))
			is.Equal(orderedModels(t, up), "new")
			close(engines.pause)
			<-woken
			is.Equal(orderedModels(t, up), c.stale)
			present.Reconcile(ctx, document(up, 2, "new"))
			is.Equal(orderedModels(t, up), "new")
			// The resumed holder sends no further orders, since its document
			// is older than that of the lease.
			old.Reconcile(ctx, document(up, 1, "old"))
			manual.Advance(20 * clock.Second)
			old.Reconcile(ctx, document(up, 1, "old"))
			is.Equal(orderedModels(t, up), "new")
			is.True(!c.fences || old.Meter.Value("engine_order_failures_total", "code", "order_stale") == 1)
		})
	}
}

// partlySilent simulates engines of which all but one never answer.
type partlySilent struct {
	responsive string
	calls      atomic.Int64
}

// Order accepts every order.
func (p *partlySilent) Order(context.Context, core.Upstream, core.EngineOrder) error { return nil }

// LastOrder returns an answer only for the responsive engine.
func (p *partlySilent) LastOrder(ctx context.Context, up core.Upstream) (core.EngineOrder, error) {
	if up.Name == p.responsive && ctx.Err() == nil {
		p.calls.Add(1)
		return core.EngineOrder{}, nil
	}
	<-ctx.Done()
	return core.EngineOrder{}, ctx.Err()
}

// TestUnresponsiveEnginesDoNotBlockOthers checks that an engine is reached
// although 99 others use up the time of each round.
func TestUnresponsiveEnginesDoNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		doc := &core.Document{Version: 1}
		for i := range 100 {
			name := fmt.Sprintf("decode-%03d", i)
			doc.Upstreams = append(doc.Upstreams, core.Upstream{Name: name, Role: core.Decode})
			doc.Desired = append(doc.Desired, core.Desired{Upstream: name})
		}
		engines := &partlySilent{responsive: "decode-099"}
		r := &lease.Reconciler{Table: &faultyTable{table: &pltsim.Table{}}, Engines: engines, Owner: core.Owner{Instance: "entry", Boot: 1}}
		for range 10 {
			r.Reconcile(t.Context(), doc)
		}
		is.True(engines.calls.Load() > 0)
	})
}

// TestLoadsAreRateLimited checks that each round sends only as many orders that
// load weights as the limiter allows.
func TestLoadsAreRateLimited(t *testing.T) {
	is := is.New(t)
	manual := &clock.Manual{}
	manual.Advance(clock.Second)
	doc := &core.Document{Version: 1}
	for _, name := range []string{"decode-1", "decode-2", "decode-3"} {
		srv := httptest.NewServer((&fake.Engine{Name: name, Role: core.Decode}).Handler())
		defer srv.Close()
		doc.Upstreams = append(doc.Upstreams, core.Upstream{Name: name, Addr: srv.Listener.Addr().String(), Role: core.Decode})
		doc.Desired = append(doc.Desired, core.Desired{Upstream: name, Models: []string{"verse"}})
	}
	r := &lease.Reconciler{
		Table: &faultyTable{table: &pltsim.Table{}}, Engines: &engine.Client{}, Clock: clock.Clock{Manual: manual},
		Owner: core.Owner{Instance: "entry", Boot: 1}, Meter: &meter.Registry{}, LoadLimiter: rate.NewLimiter(1, 1),
	}
	for want := range uint64(3) {
		r.Reconcile(context.Background(), doc)
		is.Equal(r.Meter.Value("engine_orders_total"), want+1)
		manual.Advance(clock.Second)
	}
	r.Release(context.Background())
}
