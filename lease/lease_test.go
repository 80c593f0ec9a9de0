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
	"lacewinghook.example/lacewinghook/plat"
)

// seed fixes the model check where no other seed is asked for.
const seed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", seed)
	}
	goleak.VerifyTestMain(m)
}

var errLost = codes.New(codes.PlatformDown, "lost").WithRun(codes.Unknown)

// port is one holder's way to the table.
type port struct {
	table *plat.Table
	// before is called once before the next commit, and after once after it.
	before, after func() error
	late          []func()
}

func (p *port) Read(_ context.Context, keys ...string) ([]core.Row, error) {
	return p.table.Read(keys), nil
}

func (p *port) Commit(_ context.Context, writes ...core.Write) (core.Committed, error) {
	if err := take(&p.before); err != nil {
		p.late = append(p.late, func() { _, _ = p.table.Commit(writes) })
		return core.Committed{}, err
	}
	done, err := p.table.Commit(writes)
	if lost := take(&p.after); lost != nil {
		return core.Committed{}, lost
	}
	return done, err
}

func take(f *func() error) error {
	if *f == nil {
		return nil
	}
	g := *f
	*f = nil
	return g()
}

func lose() error { return errLost }

// TestModelOneHolder lets two candidates tend one lease while writes are
// lost, land late, or take longer than the lease holds.
func TestModelOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hands := &clock.Manual{}
		hands.Advance(clock.Second)
		table := &plat.Table{}
		var ports [2]*port
		var holders [2]*lease.Holder
		for i := range holders {
			ports[i] = &port{table: table}
			holders[i] = &lease.Holder{
				Table: ports[i], Clock: clock.Clock{Manual: hands}, Group: "g",
				Owner: core.Owner{Instance: "entry", Boot: uint64(i + 1)},
			}
		}
		fences := make(map[int64]int)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			i := rapid.IntRange(0, 1).Draw(rt, "holder")
			h, p := holders[i], ports[i]
			pause := clock.Millis(rapid.IntRange(0, 10).Draw(rt, "pause")) * clock.Second
			switch rapid.IntRange(0, 7).Draw(rt, "action") {
			case 7:
				// The holder is paused between the write and its answer, and
				// the other candidate looks at the row meanwhile.
				p.after = func() error {
					for range 2 {
						_ = holders[1-i].Tend(context.Background(), 1)
						hands.Advance(pause)
					}
					return nil
				}
				_ = h.Tend(context.Background(), 1)
			case 0:
				hands.Advance(pause)
			case 1:
				p.before = lose
				_ = h.Tend(context.Background(), 1)
			case 2:
				p.after = lose
				_ = h.Tend(context.Background(), 1)
			case 3:
				p.before = func() error { hands.Advance(pause); return nil }
				_ = h.Tend(context.Background(), 1)
			case 4:
				for _, land := range p.late {
					land()
				}
				p.late = nil
			case 5:
				_ = h.Release(context.Background())
			default:
				_ = h.Tend(context.Background(), 1)
			}
			both := 0
			for j, h := range holders {
				row, rest := h.Held()
				if rest == 0 {
					continue
				}
				both++
				if other, ok := fences[row.Fence]; ok && other != j {
					rt.Fatalf("two holders had the number %d", row.Fence)
				}
				fences[row.Fence] = j
			}
			if both > 1 {
				rt.Fatal("both hold the lease")
			}
		}
	})
}

// pausable are engines whose next order waits until the test lets it go on,
// as that of a holder which is paused right before it is sent.
type pausable struct {
	engine.Client
	pause chan struct{}
	begun chan struct{}
}

func (p *pausable) Order(ctx context.Context, up core.Upstream, o core.Order) error {
	if p.pause != nil {
		close(p.begun)
		<-p.pause
		p.pause = nil
		ctx = context.WithoutCancel(ctx)
	}
	return p.Client.Order(ctx, up, o)
}

func document(up core.Upstream, version int64, model string) *core.Document {
	return &core.Document{
		Version: version, Upstreams: []core.Upstream{up},
		Desired: []core.Desired{{Upstream: up.Name, Models: []string{model}}},
	}
}

func models(t *testing.T, up core.Upstream) string {
	o, err := (&engine.Client{}).Ordered(context.Background(), up)
	is.New(t).NoErr(err)
	return strings.Join(o.State.Models, " ")
}

func TestPromise(t *testing.T) {
	for _, c := range []struct {
		name   string
		fences bool
		// stale is the engine's model after the woken holder's order.
		stale string
	}{
		{"holder frozen past its lease, engine checks fencing numbers", true, "new"},
		{"holder frozen past its lease, engine does not check", false, "old"},
	} {
		t.Run("orders to engines/"+c.name, func(t *testing.T) {
			is := is.New(t)
			e := &fake.Engine{Name: "decode-1", Role: core.Decode, Fences: c.fences}
			srv := httptest.NewServer(e.Handler())
			defer srv.Close()
			up := core.Upstream{Name: e.Name, Addr: srv.Listener.Addr().String(), Role: core.Decode, Fences: c.fences}
			ctx, hands, table := context.Background(), &clock.Manual{}, &plat.Table{}
			hands.Advance(clock.Second)
			engines := &pausable{pause: make(chan struct{}), begun: make(chan struct{})}
			keeper := func(boot uint64, engines lease.Engines) *lease.Keeper {
				return &lease.Keeper{
					Table: &port{table: table}, Engines: engines, Clock: clock.Clock{Manual: hands},
					Owner: core.Owner{Instance: "entry", Boot: boot}, Meter: &meter.Set{},
				}
			}
			old, present := keeper(1, engines), keeper(2, &engine.Client{})
			woken := make(chan struct{})
			go func() {
				defer close(woken)
				old.Round(ctx, document(up, 1, "old"))
			}()
			<-engines.begun
			present.Round(ctx, document(up, 2, "new"))
			is.Equal(models(t, up), "") // the lease still has its holder
			hands.Advance(9 * clock.Second)
			present.Round(ctx, document(up, 2, "new"))
			is.Equal(models(t, up), "new")
			close(engines.pause)
			<-woken
			is.Equal(models(t, up), c.stale)
			present.Round(ctx, document(up, 2, "new"))
			is.Equal(models(t, up), "new")
			// The woken holder gives no further orders, with no document.
			old.Round(ctx, document(up, 1, "old"))
			hands.Advance(20 * clock.Second)
			old.Round(ctx, document(up, 1, "old"))
			is.Equal(models(t, up), "new")
			is.True(!c.fences || old.Meter.Get("engine_order_failures_total", "code", "order_stale") == 1)
		})
	}
}

// partly are engines of which all but one never answer.
type partly struct {
	answers string
	asked   atomic.Int64
}

func (p *partly) Order(context.Context, core.Upstream, core.Order) error { return nil }

func (p *partly) Ordered(ctx context.Context, up core.Upstream) (core.Order, error) {
	if up.Name == p.answers && ctx.Err() == nil {
		p.asked.Add(1)
		return core.Order{}, nil
	}
	<-ctx.Done()
	return core.Order{}, ctx.Err()
}

func TestSilentEnginesKeepNoOtherFromItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		doc := &core.Document{Version: 1}
		for i := range 100 {
			name := fmt.Sprintf("decode-%03d", i)
			doc.Upstreams = append(doc.Upstreams, core.Upstream{Name: name, Role: core.Decode})
			doc.Desired = append(doc.Desired, core.Desired{Upstream: name})
		}
		engines := &partly{answers: "decode-099"}
		k := &lease.Keeper{Table: &port{table: &plat.Table{}}, Engines: engines, Owner: core.Owner{Instance: "entry", Boot: 1}}
		for range 10 {
			k.Round(t.Context(), doc)
		}
		is.True(engines.asked.Load() > 0)
	})
}

func TestLoadsAreSpread(t *testing.T) {
	is := is.New(t)
	hands := &clock.Manual{}
	hands.Advance(clock.Second)
	doc := &core.Document{Version: 1}
	for _, name := range []string{"decode-1", "decode-2", "decode-3"} {
		srv := httptest.NewServer((&fake.Engine{Name: name, Role: core.Decode}).Handler())
		defer srv.Close()
		doc.Upstreams = append(doc.Upstreams, core.Upstream{Name: name, Addr: srv.Listener.Addr().String(), Role: core.Decode})
		doc.Desired = append(doc.Desired, core.Desired{Upstream: name, Models: []string{"verse"}})
	}
	k := &lease.Keeper{
		Table: &port{table: &plat.Table{}}, Engines: &engine.Client{}, Clock: clock.Clock{Manual: hands},
		Owner: core.Owner{Instance: "entry", Boot: 1}, Meter: &meter.Set{}, Loads: rate.NewLimiter(1, 1),
	}
	for want := range uint64(3) {
		k.Round(context.Background(), doc)
		is.Equal(k.Meter.Get("engine_orders_total"), want+1)
		hands.Advance(clock.Second)
	}
	k.Release(context.Background())
}
