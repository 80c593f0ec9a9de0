package idem_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/pltsim"
	"lacewinghook.example/lacewinghook/record"
	"lacewinghook.example/lacewinghook/trial"
)

// callTimeout is the deadline of the orders in these tests.
const callTimeout = 800 * clock.Millis(1)

// fault returns a fault of table operations on order rows.
func fault(op pltsim.Op, kind pltsim.FaultKind, count int, delay clock.Millis) pltsim.Fault {
	return pltsim.Fault{Op: op, Kind: kind, Count: count, Delay: delay, Prefix: "once/"}
}

// down makes every read and write of order rows fail.
var down = []pltsim.Fault{fault(pltsim.OpCommit, pltsim.Unavailable, 0, 0), fault(pltsim.OpRead, pltsim.Unavailable, 0, 0)}

// faultCases are orders sent to one entry under faults, and again to another
// entry once the faults are removed.
var faultCases = []struct {
	name string
	// before faults are active when the order is sent, during faults from the
	// time that the service runs it.
	before, during []pltsim.Fault
	ills           fake.Faults
	// first and again are the codes returned by the two calls; zero means
	// success.
	first, again codes.Code
	runs         int
}{
	{name: "no fault", runs: 1},
	{name: "insert landed, answer lost", before: []pltsim.Fault{fault(pltsim.OpCommit, pltsim.AnswerLost, 1, 0)}, runs: 1},
	{name: "insert dropped", before: []pltsim.Fault{fault(pltsim.OpCommit, pltsim.RequestLost, 1, 0)}, runs: 1},
	{name: "insert lands late", before: []pltsim.Fault{fault(pltsim.OpCommit, pltsim.AppliedLate, 1, 200)}, runs: 1},
	{name: "insert slow", before: []pltsim.Fault{fault(pltsim.OpCommit, pltsim.RequestDelayed, 1, 200)}, runs: 1},
	{name: "insert landed, read back fails", before: []pltsim.Fault{fault(pltsim.OpCommit, pltsim.AnswerLost, 1, 0), down[0], down[1]}, first: codes.ClaimUnsure, runs: 1},
	{name: "insert dropped, read back fails", before: []pltsim.Fault{fault(pltsim.OpCommit, pltsim.RequestLost, 1, 0), down[0], down[1]}, first: codes.ClaimUnsure, runs: 1},
	{name: "insert lands after the refusal", before: []pltsim.Fault{fault(pltsim.OpCommit, pltsim.AppliedLate, 1, 1200), down[0], down[1]}, first: codes.ClaimUnsure, runs: 1},
	{name: "read back lost once", before: []pltsim.Fault{fault(pltsim.OpCommit, pltsim.AnswerLost, 1, 0), fault(pltsim.OpRead, pltsim.RequestLost, 1, 0)}, runs: 1},
	{name: "table down before", before: down, first: codes.PlatformDown, runs: 1},
	{name: "result's write landed, answer lost", during: []pltsim.Fault{fault(pltsim.OpCommit, pltsim.AnswerLost, 1, 0)}, runs: 1},
	{name: "result's write dropped", during: []pltsim.Fault{fault(pltsim.OpCommit, pltsim.RequestLost, 1, 0)}, runs: 1},
	{name: "result's write lands late", during: []pltsim.Fault{fault(pltsim.OpCommit, pltsim.AppliedLate, 1, 200)}, runs: 1},
	{name: "table down after dispatch", during: down, runs: 1},
	{name: "service closes without an answer", ills: fake.Faults{LoseAnswers: 1}, first: codes.UpstreamLost, again: codes.OutcomeUnknown, runs: 1},
	{name: "no answer and table down", ills: fake.Faults{LoseAnswers: 1}, during: down, first: codes.UpstreamLost, again: codes.OutcomeUnknown, runs: 1},
	{name: "insert's answer lost and no answer", before: []pltsim.Fault{fault(pltsim.OpCommit, pltsim.AnswerLost, 1, 0)}, ills: fake.Faults{LoseAnswers: 1}, first: codes.UpstreamLost, again: codes.OutcomeUnknown, runs: 1},
	{name: "service slower than the deadline", ills: fake.Faults{SlowFactor: 20}, first: codes.InProgress, runs: 1},
}

// startSet starts two entries, one service and the platform, with callTimeout
// on every route.
func startSet(t *testing.T, edit func(*core.Document)) *trial.Cluster {
	set, err := trial.Start(trial.Plan{Entries: 2, Services: 1, Linger: 1, EditDocument: func(d *core.Document) {
		for i := range d.Routes {
			d.Routes[i].Timeout = callTimeout
		}
		if edit != nil {
			edit(d)
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(set.Stop)
	return set
}

// send sends an order with the given idempotency key to one of the entries.
func send(set *trial.Cluster, entry int, key string) (fake.ServiceAnswer, error) {
	return set.Client(entry).CallService(context.Background(), http.MethodPost, "/orders", key, []byte("card"))
}

// until waits up to 20 seconds for a condition.
func until(t *testing.T, cond func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), (20 * clock.Second).Duration())
	defer cancel()
	if err := trial.WaitUntil(ctx, cond); err != nil {
		t.Fatal("the condition did not become true")
	}
}

// codeOf returns the code of an error; zero means no error.
func codeOf(err error) codes.Code {
	if err == nil {
		return 0
	}
	return codes.From(err).Code
}

// TestPromise checks that an order runs at most once under faults of the
// platform, the service, the entries and the caller.
func TestPromise(t *testing.T) {
	t.Run("at most once", func(t *testing.T) {
		set := startSet(t, nil)
		svc := set.Services[0]
		svc.CallDuration = 100
		for _, c := range faultCases {
			t.Run(c.name, func(t *testing.T) { underFault(t, set, svc, c.name) })
		}
		t.Run("record applied, confirmation lost", recordConfirmationLost)
		t.Run("sent to both entries at once", sentConcurrently)
		t.Run("caller disconnects and retries", callerGone)
		t.Run("entry stops during the run", entryStopsDuringRun)
		t.Run("one replica refuses the connection", replicaRefuses)
		t.Run("long platform outage", platformDown)
		t.Run("combined random faults", faultsTogether)
	})
}

// underFault runs one of the faultCases, which it finds by its name; the name
// is also the idempotency key.
func underFault(t *testing.T, set *trial.Cluster, svc *fake.PlainService, key string) {
	is := is.New(t)
	defer set.Platform.Faults.Clear()
	c := faultCases[0]
	for _, other := range faultCases {
		if other.name == key {
			c = other
		}
	}
	for _, f := range c.before {
		set.Platform.Faults.Add(f)
	}
	svc.Faults.Set(c.ills)
	ended := make(chan error, 1)
	go func() {
		_, err := send(set, 0, key)
		ended <- err
	}()
	if len(c.during) > 0 {
		until(t, func() bool { return svc.Runs()[key] > 0 })
		for _, f := range c.during {
			set.Platform.Faults.Add(f)
		}
	}
	err := <-ended
	is.Equal(codeOf(err), c.first)
	if err != nil && codes.From(err).Run == codes.NotRun {
		is.Equal(svc.Runs()[key], 0)
	}
	set.Platform.Faults.Clear()
	svc.Faults.Set(fake.Faults{})
	// The first entry may not have stored the outcome yet.
	until(t, func() bool {
		_, err = send(set, 1, key)
		return !codes.Has(err, codes.InProgress)
	})
	is.Equal(codeOf(err), c.again)
	a, err := send(set, 0, key)
	is.Equal(codeOf(err), c.again)
	is.True(err != nil || a.Run == 1)
	is.Equal(svc.Runs()[key], c.runs)
}

// recordConfirmationLost stores the record of an unknown outcome but loses the
// confirmation. The writing entry must then answer as the record reads, like
// the other entry.
func recordConfirmationLost(t *testing.T) {
	is := is.New(t)
	set := startSet(t, nil)
	svc := set.Services[0]
	svc.CallDuration = 100
	svc.Faults.Set(fake.Faults{LoseAnswers: 1})
	first := make(chan error, 1)
	go func() {
		_, err := send(set, 0, "k")
		first <- err
	}()
	until(t, func() bool { return svc.Runs()["k"] > 0 })
	set.Platform.Faults.Add(fault(pltsim.OpCommit, pltsim.AnswerLost, 0, 0))
	set.Platform.Faults.Add(down[1])
	is.Equal(codeOf(<-first), codes.UpstreamLost)
	set.Platform.Faults.Clear()
	for _, entry := range []int{1, 0} {
		_, err := send(set, entry, "k")
		is.Equal(codeOf(err), codes.OutcomeUnknown)
	}
	is.Equal(svc.Runs()["k"], 1)
}

// sentConcurrently sends the same order 20 times at once, to both entries.
func sentConcurrently(t *testing.T) {
	is := is.New(t)
	set := startSet(t, nil)
	set.Services[0].CallDuration = 50
	var wg sync.WaitGroup
	ends := make(chan error, 20)
	for i := range cap(ends) {
		wg.Go(func() {
			_, err := send(set, i%2, "k")
			ends <- err
		})
	}
	wg.Wait()
	close(ends)
	served := 0
	for err := range ends {
		if err == nil {
			served++
			continue
		}
		is.True(codes.Has(err, codes.InProgress))
		is.Equal(codes.From(err).Run, codes.Unknown)
	}
	is.True(served >= cap(ends)/2) // the winner's entry answers all of its callers
	is.Equal(set.Services[0].Runs()["k"], 1)
}

// callerGone sends an order, disconnects while it runs, and repeats the order
// at the other entry.
func callerGone(t *testing.T) {
	is := is.New(t)
	set := startSet(t, nil)
	svc := set.Services[0]
	svc.CallDuration = 200
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = set.Client(0).CallService(ctx, http.MethodPost, "/orders", "k", []byte("card"))
	}()
	until(t, func() bool { return svc.Runs()["k"] == 1 })
	cancel()
	<-ended
	_, err := send(set, 1, "k")
	is.True(codes.Has(err, codes.InProgress))
	until(t, func() bool {
		_, err = send(set, 1, "k")
		return err == nil
	})
	is.Equal(svc.Runs()["k"], 1)
}

// entryStopsDuringRun stops an entry while its order runs. The other entry must
// return the stored answer.
func entryStopsDuringRun(t *testing.T) {
	is := is.New(t)
	set := startSet(t, nil)
	svc := set.Services[0]
	svc.CallDuration = 300
	ended := make(chan error, 1)
	go func() {
		_, err := send(set, 0, "k")
		ended <- err
	}()
	until(t, func() bool { return svc.Runs()["k"] == 1 })
	// The platform is down while the entry stops. The entry must wait until the
	// outcome is stored, since no other entry has it.
	set.Platform.Faults.Add(down[0])
	stopped := make(chan error, 1)
	go func() { stopped <- set.Entries[0].Stop() }()
	is.NoErr(<-ended)
	set.Platform.Faults.Clear()
	is.NoErr(<-stopped)
	a, err := send(set, 1, "k")
	is.NoErr(err)
	is.Equal(a.Run, 1)
}

// replicaRefuses adds a replica that refuses connections. The order must run on
// another one, since a refused connection proves that it was not sent.
func replicaRefuses(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	set := startSet(t, func(d *core.Document) {
		d.Upstreams = append(d.Upstreams, core.Upstream{
			Name: "card-desk-0", Addr: ln.Addr().String(), Role: core.Service, Service: trial.Service,
		})
	})
	a, err := send(set, 0, "k")
	is.NoErr(err)
	is.Equal(a.Run, 1)
}

// platformDown sends many orders while the table is down. Lookups still
// succeed, the orders are rejected in time as not run, and all can be sent
// afterwards.
func platformDown(t *testing.T) {
	const orders = 200
	is := is.New(t)
	set := startSet(t, nil)
	for _, f := range down {
		set.Platform.Faults.Add(f)
	}
	sendOrder := func(i int) error {
		_, err := send(set, i%2, keyOf(i))
		return err
	}
	var wg sync.WaitGroup
	rejected := make(chan error, orders)
	for i := range orders {
		wg.Go(func() { rejected <- sendOrder(i) })
	}
	_, err := set.Client(0).CallService(context.Background(), http.MethodGet, "/stock/burr", "", nil)
	is.NoErr(err)
	wg.Wait()
	close(rejected)
	for err := range rejected {
		// ClaimUnsure is returned if a write was in flight at the deadline.
		if !codes.Has(err, codes.PlatformDown) && !codes.Has(err, codes.ClaimUnsure) {
			t.Errorf("order rejected with %v", err)
		}
		is.Equal(codes.From(err).Run, codes.NotRun)
	}
	is.Equal(len(set.Services[0].Runs()), 1) // the lookup
	set.Platform.Faults.Clear()
	// Each entry probes the platform about once per second.
	for i := range set.Entries {
		until(t, func() bool {
			_, err := send(set, i, "probe"+strconv.Itoa(i))
			return err == nil
		})
	}
	// Each order is sent until it is answered, and as many that were not sent before. On a
	// busy machine some are rejected at first, which must be true: no run has begun. An
	// order that outlasts its deadline is answered InProgress, which promises nothing.
	relaxed := is.NewRelaxed(t) // doesn't end the goroutine
	for i := range 2 * orders {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), (20 * clock.Second).Duration())
			defer cancel()
			inProgress := false
			relaxed.NoErr(trial.WaitUntil(ctx, func() bool {
				err := sendOrder(i)
				switch {
				case err == nil:
					return true
				case codes.Has(err, codes.InProgress):
					inProgress = true
				case codes.From(err).Run != codes.NotRun:
					t.Errorf("order %d rejected as run %q: %v", i, codes.From(err).Run, err)
				case !inProgress && set.Services[0].Runs()[keyOf(i)] > 0:
					t.Errorf("order %d has run, and was rejected as not run: %v", i, err)
				}
				return false
			}))
		})
	}
	wg.Wait()
	is.Equal(len(set.Services[0].Runs()), 1+len(set.Entries)+2*orders) // the lookup, the probes
	for _, n := range set.Services[0].Runs() {
		is.Equal(n, 1)
	}
}

// keyOf returns the idempotency key of order i.
func keyOf(i int) string { return "k" + string(rune('a'+i%26)) + string(rune('a'+i/26)) }

// faultsTogether repeatedly sends orders to both entries while platform calls
// and service answers are lost at random.
func faultsTogether(t *testing.T) {
	const orders, sends = 60, 4
	is := is.New(t)
	set := startSet(t, nil)
	svc := set.Services[0]
	var wg sync.WaitGroup
	rejected := make([]bool, orders)
	for i := range orders {
		draw := rand.New(rand.NewPCG(1, uint64(i)))
		wg.Go(func() {
			rejected[i] = true
			for range sends {
				set.Platform.Faults.Add(pltsim.Fault{
					Kind:  []pltsim.FaultKind{pltsim.Unavailable, pltsim.AnswerLost, pltsim.RequestLost, pltsim.AppliedLate, pltsim.AnswerDelayed, pltsim.RequestDelayed}[draw.IntN(6)],
					Op:    []pltsim.Op{pltsim.OpCommit, pltsim.OpCommit, pltsim.OpRead}[draw.IntN(3)],
					Count: 1 + draw.IntN(3), Delay: clock.Millis(draw.IntN(1500)), Prefix: record.Prefix,
				})
				svc.Faults.Set(fake.Faults{LoseAnswers: draw.IntN(3)})
				_, err := send(set, draw.IntN(2), keyOf(i))
				rejected[i] = rejected[i] && err != nil && codes.From(err).Run == codes.NotRun
			}
		})
	}
	wg.Wait()
	for i, never := range rejected {
		is.True(!never || svc.Runs()[keyOf(i)] == 0) // every call was rejected as not run
	}
	set.Platform.Faults.Clear()
	svc.Faults.Set(fake.Faults{})
	ends := make(map[codes.Code]int)
	for i := range orders {
		var err error
		until(t, func() bool {
			_, err = send(set, i%2, keyOf(i))
			return err == nil || codes.Has(err, codes.OutcomeUnknown)
		})
		ends[codeOf(err)]++
		is.True(svc.Runs()[keyOf(i)] <= 1)
		is.True(err != nil || svc.Runs()[keyOf(i)] == 1)
	}
	t.Logf("%d answered, %d unknown", ends[0], ends[codes.OutcomeUnknown])
}
