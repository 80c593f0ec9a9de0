package idem_test

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/idem"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/pltsim"
	"lacewinghook.example/lacewinghook/record"
	"lacewinghook.example/lacewinghook/shard"
)

// memory is a table without faults.
type memory struct{ t pltsim.Table }

// Read implements [idem.Table].
func (m *memory) Read(_ context.Context, keys ...string) ([]core.Row, error) {
	return m.t.Read(keys), nil
}

// List implements [idem.Table].
func (m *memory) List(_ context.Context, prefix, after string, limit int) ([]core.Row, error) {
	return m.t.List(prefix, after, limit), nil
}

// Commit implements [idem.Table].
func (m *memory) Commit(_ context.Context, writes ...core.Write) (core.CommitResult, error) {
	return m.t.Commit(writes)
}

// sendFunc implements [idem.Sender] by a function.
type sendFunc func(call core.Call) (core.Answer, error)

// Send calls f.
func (f sendFunc) Send(_ context.Context, call core.Call) (core.Answer, error) { return f(call) }

// order returns a call with the given idempotency key and body.
func order(key, body string) core.Call {
	return core.Call{Workspace: "verse-writers", Service: "card-desk", Method: http.MethodPost, Path: "/orders", IdempotencyKey: key, Body: []byte(body)}
}

// TestRepeatedCallGetsStoredAnswer repeats a call at two entries: it runs once.
// The same key with another body is rejected.
func TestRepeatedCallGetsStoredAnswer(t *testing.T) {
	is := is.New(t)
	table := &memory{}
	runs := 0
	send := sendFunc(func(core.Call) (core.Answer, error) {
		runs++
		return core.Answer{Status: http.StatusCreated, Body: []byte("printed")}, nil
	})
	first := &idem.Executor{Table: table, Sender: send}
	second := &idem.Executor{Table: table, Sender: send}
	for _, ex := range []*idem.Executor{first, second, first} {
		a, err := ex.Do(context.Background(), order("k1", "card"))
		is.NoErr(err)
		is.Equal(string(a.Body), "printed")
		is.Equal(a.Status, http.StatusCreated)
	}
	is.Equal(runs, 1)
	_, err := second.Do(context.Background(), order("k1", "another card"))
	is.True(codes.Has(err, codes.KeyReused))
	is.Equal(codes.From(err).Run, codes.NotRun)
	is.Equal(runs, 1)
	is.NoErr(first.Close(context.Background()))
	is.NoErr(second.Close(context.Background()))
	_, err = first.Do(context.Background(), order("k2", "card"))
	is.True(codes.Has(err, codes.Leaving))
}

// TestSettleDoesNotSend settles an order as not run and checks that a repeated
// call is still not sent.
func TestSettleDoesNotSend(t *testing.T) {
	is := is.New(t)
	runs := 0
	ex := &idem.Executor{Table: &memory{}, Sender: sendFunc(func(core.Call) (core.Answer, error) {
		runs++
		return core.Answer{}, codes.New(codes.UpstreamLost, "card-desk-1")
	})}
	ctx := context.Background()
	_, err := ex.Do(ctx, order("k1", "card"))
	is.Equal(codes.From(err).Run, codes.Unknown)
	page, err := ex.List(ctx, record.Unknown, "", 10)
	is.NoErr(err)
	is.Equal(len(page.Orders), 1)
	id := page.Orders[0].ID
	_, err = ex.Settle(ctx, id, record.Done, "ann")
	is.True(codes.Has(err, codes.BadRequest))
	_, err = ex.Settle(ctx, "none", record.SettledRan, "ann")
	is.True(codes.Has(err, codes.NotFound))
	r, err := ex.Settle(ctx, id, record.SettledNotRun, "ann")
	is.NoErr(err)
	is.Equal(r.State, record.SettledNotRun)
	_, err = ex.Settle(ctx, id, record.SettledRan, "ben")
	is.True(codes.Has(err, codes.AlreadySettled))
	_, err = ex.Do(ctx, order("k1", "card"))
	is.True(codes.Has(err, codes.OutcomeUnknown))
	is.Equal(codes.From(err).Run, codes.Unknown)
	is.Equal(runs, 1)
	page, err = ex.List(ctx, record.Unknown, "", 10)
	is.NoErr(err)
	is.Equal(len(page.Orders), 0)
	is.NoErr(ex.Close(ctx))
}

// TestExpiryKeepsOpenAndUnknown checks that a sweep after the retention (7
// days) deletes an answered order but not one with an unknown outcome.
func TestExpiryKeepsOpenAndUnknown(t *testing.T) {
	is := is.New(t)
	table := &memory{}
	manual := &clock.Manual{}
	manual.Advance(clock.Second)
	ex := &idem.Executor{Table: table, Clock: clock.Clock{Manual: manual}, Sender: sendFunc(func(call core.Call) (core.Answer, error) {
		if call.IdempotencyKey == "lost" {
			return core.Answer{}, codes.New(codes.UpstreamLost, "card-desk-1")
		}
		return core.Answer{Status: http.StatusOK}, nil
	})}
	ctx := context.Background()
	_, err := ex.Do(ctx, order("done", "card"))
	is.NoErr(err)
	_, err = ex.Do(ctx, order("lost", "card"))
	is.True(err != nil)
	n, err := ex.Sweep(ctx)
	is.NoErr(err)
	is.Equal(n, 0)
	manual.Advance(8 * 24 * 60 * clock.Minute)
	n, err = ex.Sweep(ctx)
	is.NoErr(err)
	is.Equal(n, 1)
	page, err := ex.List(ctx, "", "", 10)
	is.NoErr(err)
	is.Equal(len(page.Orders), 1)
	is.Equal(page.Orders[0].Key, "lost")
	is.Equal(ex.Unknown(), 1)
	// The next pass is not due yet.
	n, err = ex.Sweep(ctx)
	is.NoErr(err)
	is.Equal(n, 0)
	is.NoErr(ex.Close(ctx))
}

// objectStore is an in-memory object store with outages.
type objectStore struct {
	m    shard.Map[string, []byte]
	down atomic.Bool
}

// Put fails during an outage.
func (s *objectStore) Put(_ context.Context, key string, data []byte) error {
	if s.down.Load() {
		return codes.New(codes.PlatformDown, "objects")
	}
	s.m.Set(key, data)
	return nil
}

// Get fails during an outage and for an unknown key.
func (s *objectStore) Get(_ context.Context, key string) ([]byte, error) {
	data, ok := s.m.Get(key)
	if s.down.Load() || !ok {
		return nil, codes.New(codes.PlatformDown, "objects")
	}
	return data, nil
}

// TestLargeAnswerIsStoredAsObject has the service return an answer too large for
// a row. The answer is stored as an object once the object store is available.
func TestLargeAnswerIsStoredAsObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		body := bytes.Repeat([]byte("verse"), 20_000)
		table, objects := &memory{}, &objectStore{}
		send := sendFunc(func(core.Call) (core.Answer, error) { return core.Answer{Status: 200, Body: body}, nil })
		first := &idem.Executor{Table: table, Objects: objects, Sender: send}
		second := &idem.Executor{Table: table, Objects: objects, Sender: send}
		// The object store is down: the caller still gets its answer, and the
		// row stays open until the answer is stored.
		objects.down.Store(true)
		a, err := first.Do(t.Context(), order("k", "card"))
		is.NoErr(err)
		is.True(bytes.Equal(a.Body, body))
		is.Equal(first.Unsaved(), 1)
		_, err = second.Do(t.Context(), order("k", "card"))
		is.True(codes.Has(err, codes.InProgress))
		objects.down.Store(false)
		is.NoErr(first.Close(t.Context()))
		a, err = second.Do(t.Context(), order("k", "card"))
		is.NoErr(err)
		is.True(bytes.Equal(a.Body, body))
		objects.down.Store(true)
		_, err = second.Do(t.Context(), order("k", "card"))
		is.Equal(codes.From(err).Run, codes.Ran)
		is.NoErr(second.Close(t.Context()))
	})
}

// downTable fails each commit.
type downTable struct{ memory }

// Commit implements [idem.Table].
func (*downTable) Commit(context.Context, ...core.Write) (core.CommitResult, error) {
	return core.CommitResult{}, codes.New(codes.PlatformDown, "table").WithRun(codes.NotRun)
}

// TestUnsentOrderIsRejectedAsNotRun guards against a rejection as in progress, which
// promises nothing, of an order that was not sent by its deadline because its claim is
// late, as on a busy machine.
func TestUnsentOrderIsRejectedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runs := 0
		var draws atomic.Int32
		ex := &idem.Executor{Table: &downTable{}, Sender: sendFunc(func(core.Call) (core.Answer, error) {
			runs++
			return core.Answer{}, nil
		})}
		// The thread that claims the order stalls while it draws its backoff.
		ex.Draw = func() uint64 {
			if draws.Add(1) > 2 {
				time.Sleep((2 * clock.Second).Duration())
			}
			return 0
		}
		call := order("k", "card")
		call.Deadline = ex.Clock.Now() + 300
		_, err := ex.Do(t.Context(), call)
		is.True(codes.Has(err, codes.ClaimUnsure))
		is.Equal(codes.From(err).Run, codes.NotRun)
		is.NoErr(ex.Close(t.Context()))
		is.Equal(runs, 0)
	})
}

// TestViolationIsCounted overwrites the row with another attempt's token while
// the call runs, and checks that the violation is counted.
func TestViolationIsCounted(t *testing.T) {
	is := is.New(t)
	table, m := &memory{}, &meter.Registry{}
	ex := &idem.Executor{Table: table, Meter: m, Sender: sendFunc(func(core.Call) (core.Answer, error) {
		row := table.t.List(record.Prefix, "", 1)[0]
		other := bytes.Replace(row.Value, []byte(`"token":"`), []byte(`"token":"x`), 1)
		_, err := table.t.Commit([]core.Write{{Key: row.Key, Value: other, Expect: row.Revision}})
		return core.Answer{Status: 200}, err
	})}
	_, err := ex.Do(context.Background(), order("k", "card"))
	is.NoErr(err)
	is.Equal(m.Violations(meter.AtMostOnce).Count, 1)
	is.NoErr(ex.Close(context.Background()))
}

// outage is a table that is down for its first minute. It counts the commits.
type outage struct {
	memory
	mu            sync.Mutex
	begin         clock.Millis
	during, after int
}

// outageSpan is the duration of the outage, and commitTime that of each commit.
const (
	outageSpan = clock.Minute
	commitTime = 3 * clock.Millis(1)
)

// Commit takes 3 ms and fails during the outage.
func (o *outage) Commit(ctx context.Context, writes ...core.Write) (core.CommitResult, error) {
	o.mu.Lock()
	down := clock.Clock{}.Now()-o.begin < outageSpan
	if down {
		o.during++
	} else {
		o.after++
	}
	o.mu.Unlock()
	_ = clock.Clock{}.Sleep(ctx, commitTime)
	if down {
		return core.CommitResult{}, codes.New(codes.PlatformDown, "outage")
	}
	return o.memory.Commit(ctx, writes...)
}

// TestNoRetryStormAroundOutage checks that orders waiting during an outage
// neither flood the table while it is down nor when it recovers.
func TestNoRetryStormAroundOutage(t *testing.T) {
	const orders = 1000
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := &outage{begin: clock.Clock{}.Now()}
		var runs atomic.Int64
		ex := &idem.Executor{Table: table, Limit: orders, Sender: sendFunc(func(core.Call) (core.Answer, error) {
			runs.Add(1)
			return core.Answer{Status: http.StatusOK}, nil
		})}
		var wg sync.WaitGroup
		for i := range orders + 1 {
			wg.Go(func() {
				call := order(strconv.Itoa(i), "card")
				call.Deadline = clock.Clock{}.Now() + 2*outageSpan
				_, err := ex.Do(t.Context(), call)
				is.True(err == nil || codes.Has(err, codes.QueueFull))
			})
		}
		wg.Wait()
		is.Equal(runs.Load(), int64(orders))
		is.NoErr(ex.Close(t.Context()))
		t.Logf("%d commits in the outage, %d after it", table.during, table.after)
		is.True(table.during <= int(outageSpan/clock.Second)+10) // about one per second
		is.True(table.after <= orders/4)                         // claims and outcomes of 1,000 orders, batched
	})
}
