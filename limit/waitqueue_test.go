package limit_test

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/limit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testQueue is a queue with a number of free slots as its capacity. It records the
// order of service and the errors.
type testQueue struct {
	limit.Queue
	manual clock.Manual
	mu     sync.Mutex
	free   int
	order  []string
	wait   sync.WaitGroup
	errs   map[string]error
}

// newTestQueue returns a queue without free slots.
func newTestQueue() *testQueue {
	q := &testQueue{errs: make(map[string]error)}
	q.Clock = clock.Clock{Manual: &q.manual}
	return q
}

// submit adds a request and returns once it waits or its outcome is known.
func (q *testQueue) submit(ctx context.Context, name string, t limit.Ticket) {
	t.Workspace = strings.TrimRight(name, "0123456789")
	t.Try = func() (bool, error) {
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.free < 1 {
			return false, nil
		}
		q.free--
		q.order = append(q.order, name)
		return true, nil
	}
	waitCtx := &waitContext{Context: ctx, waiting: make(chan struct{})}
	q.wait.Go(func() {
		err := q.Wait(waitCtx, t)
		q.mu.Lock()
		q.errs[name] = err
		q.mu.Unlock()
	})
	<-waitCtx.waiting
}

// waitContext closes waiting when Done is called, that is when the request waits.
type waitContext struct {
	context.Context
	waiting chan struct{}
}

// Done implements [context.Context]. It may be called only once.
func (c *waitContext) Done() <-chan struct{} {
	close(c.waiting)
	return c.Context.Done()
}

// release frees n slots one after another.
func (q *testQueue) release(n int) {
	for range n {
		q.mu.Lock()
		q.free++
		q.mu.Unlock()
		q.Wake()
	}
}

// servedOrder returns the names of the served requests in order.
func (q *testQueue) servedOrder() string { return strings.Join(q.order, " ") }

// ticketWithTarget returns a ticket that expires long after its target.
func ticketWithTarget(target clock.Millis) limit.Ticket {
	return limit.Ticket{Cost: 1000, Target: target, Latest: 100 * clock.Second, TimeToFirstToken: 10}
}

// TestOrder checks the order in which waiting requests are served.
func TestOrder(t *testing.T) {
	urgent := ticketWithTarget(900)
	urgent.Urgent = true
	for name, tc := range map[string]struct {
		names   []string
		tickets []limit.Ticket
		after   clock.Millis
		want    string
	}{
		"earliest target first":     {[]string{"a1", "a2", "a3"}, []limit.Ticket{ticketWithTarget(500), ticketWithTarget(300), ticketWithTarget(400)}, 0, "a2 a3 a1"},
		"urgent first":              {[]string{"a1", "a2"}, []limit.Ticket{ticketWithTarget(300), urgent}, 0, "a2 a1"},
		"missed targets last":       {[]string{"a1", "a2"}, []limit.Ticket{ticketWithTarget(100), ticketWithTarget(900)}, 200, "a2 a1"},
		"targets across workspaces": {[]string{"a1", "b1", "a2"}, []limit.Ticket{ticketWithTarget(500), ticketWithTarget(300), ticketWithTarget(400)}, 0, "b1 a2 a1"},
	} {
		t.Run(name, func(t *testing.T) {
			q := newTestQueue()
			for i, name := range tc.names {
				q.submit(t.Context(), name, tc.tickets[i])
			}
			q.manual.Advance(tc.after)
			q.release(len(tc.names))
			q.wait.Wait()
			is.New(t).Equal(q.servedOrder(), tc.want)
		})
	}
}

// TestShares checks that a workspace with earlier targets and a large backlog gets
// no more than its fair share, and that shares follow the weights.
func TestShares(t *testing.T) {
	for name, tc := range map[string]struct {
		unfair bool
		weight int
		least  int
		most   int
	}{
		"equal weights":        {false, 1, 14, 26},
		"weights three to one": {false, 3, 24, 16},
		"fair share disabled":  {true, 1, 0, 40},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := newTestQueue()
			q.NoFairShare = tc.unfair
			for i := range 100 {
				q.submit(t.Context(), "greedy"+string(rune('0'+i%10))+string(rune('0'+i/10)), ticketWithTarget(200))
			}
			for i := range 30 {
				ticket := ticketWithTarget(2000)
				ticket.Weight = tc.weight
				q.submit(t.Context(), "small"+string(rune('0'+i%10))+string(rune('0'+i/10)), ticket)
			}
			q.release(40)
			small := strings.Count(q.servedOrder(), "small")
			is.True(small >= tc.least)
			is.True(40-small <= tc.most)
			q.release(100)
			q.wait.Wait()
		})
	}
}

// TestRefusals checks which requests are rejected or removed.
func TestRefusals(t *testing.T) {
	t.Run("a full queue rejects from the largest backlog", func(t *testing.T) {
		is := is.New(t)
		q := newTestQueue()
		q.MaxWaiting = 3
		for _, name := range []string{"greedy1", "greedy2", "greedy3", "greedy4", "small1"} {
			q.submit(t.Context(), name, ticketWithTarget(500))
		}
		q.release(3)
		q.wait.Wait()
		is.True(codes.Has(q.errs["greedy4"], codes.QueueFull))
		is.Equal(codes.From(q.errs["greedy4"]).Run, codes.NotRun)
		is.NoErr(q.errs["small1"])
		is.Equal(len(q.order), 3)
	})
	t.Run("latest start time passed in the queue", func(t *testing.T) {
		is := is.New(t)
		q := newTestQueue()
		ticket := ticketWithTarget(500)
		ticket.Latest = 500
		q.submit(t.Context(), "a1", ticket)
		q.manual.Advance(500)
		q.wait.Wait()
		is.True(codes.Has(q.errs["a1"], codes.DeadlineUnmet))
		is.Equal(q.Len(), 0)
	})
	t.Run("rejected on arrival by the predicted wait", func(t *testing.T) {
		is := is.New(t)
		q := newTestQueue()
		for i := range 9 {
			q.submit(t.Context(), "a"+string(rune('0'+i)), ticketWithTarget(5000))
		}
		q.manual.Advance(400)
		q.release(2) // 2,000 tokens in 400 ms, and 7 requests wait
		ticket := ticketWithTarget(1000)
		ticket.Latest = 1000
		q.submit(t.Context(), "a99", ticket)
		is.Equal(q.Len(), 7)
		patient := ticketWithTarget(1000)
		q.submit(t.Context(), "a98", patient)
		is.Equal(q.Len(), 8)
		q.release(8)
		q.wait.Wait()
		is.True(codes.Has(q.errs["a99"], codes.DeadlineUnmet))
		is.True(codes.From(q.errs["a99"]).RetryAfter > 0)
		is.NoErr(q.errs["a98"])
	})
	t.Run("a disconnected caller occupies no slot", func(t *testing.T) {
		is := is.New(t)
		q := newTestQueue()
		ctx, cancel := context.WithCancel(t.Context())
		q.submit(ctx, "a1", ticketWithTarget(500))
		cancel()
		q.wait.Wait()
		is.True(codes.Has(q.errs["a1"], codes.CallerGone))
		is.Equal(codes.From(q.errs["a1"]).Run, codes.NotRun)
		q.release(1)
		is.Equal(q.free, 1)
	})
}

// TestBudgetIsAShareOfSuccesses checks the burst and what the successes add to it.
func TestBudgetIsAShareOfSuccesses(t *testing.T) {
	is := is.New(t)
	var b limit.Budget
	spent := 0
	for b.Spend() {
		spent++
	}
	is.Equal(spent, 50)
	for range 100 {
		b.Earn()
	}
	for b.Spend() {
		spent++
	}
	is.True(spent == 59 || spent == 60) // a tenth of the successes
}

// TestBackoffGrowsWithinItsBounds checks that each delay is in the upper half of its
// range.
func TestBackoffGrowsWithinItsBounds(t *testing.T) {
	is := is.New(t)
	for n, want := range map[int]clock.Millis{1: 10, 2: 20, 3: 40, 30: 1000} {
		for draw := range uint64(50) {
			d := limit.Backoff{}.Delay(n, draw*977)
			is.True(d >= want/2 && d <= want)
		}
	}
}

// TestLateTimerServesNoExpiredRequest guards against a request that is served after its
// latest start because capacity becomes free before the queue's timer, which is late on a
// busy machine.
func TestLateTimerServesNoExpiredRequest(t *testing.T) {
	is := is.New(t)
	q := newTestQueue()
	// Timers that are due at once run in order, after the clock has advanced.
	q.Clock.AfterFunc(50, func() { q.release(1) })
	q.submit(t.Context(), "a1", limit.Ticket{Cost: 1, Target: 100, Latest: 100})
	q.submit(t.Context(), "a2", limit.Ticket{Cost: 1, Target: 100, Latest: 1000})
	q.manual.Advance(300)
	q.release(1)
	q.wait.Wait()
	is.True(codes.Has(q.errs["a1"], codes.DeadlineUnmet))
	is.Equal(codes.From(q.errs["a1"]).Run, codes.NotRun)
	is.NoErr(q.errs["a2"])
	is.Equal(q.order, []string{"a2"})
}
