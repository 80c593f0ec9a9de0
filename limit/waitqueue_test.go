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

// testQueue is a queue whose capacity is a number of free slots.
type testQueue struct {
	limit.Line
	manual clock.Manual
	mu     sync.Mutex
	free   int
	order  []string
	wait   sync.WaitGroup
	errs   map[string]error
}

func newTestQueue() *testQueue {
	b := &testQueue{errs: make(map[string]error)}
	b.Clock = clock.Clock{Manual: &b.manual}
	return b
}

// submit adds a request and returns once it waits or its outcome is known.
func (b *testQueue) submit(ctx context.Context, name string, t limit.Ticket) {
	t.Workspace = strings.TrimRight(name, "0123456789")
	t.Try = func() (bool, error) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.free < 1 {
			return false, nil
		}
		b.free--
		b.order = append(b.order, name)
		return true, nil
	}
	waitCtx := &waitContext{Context: ctx, waiting: make(chan struct{})}
	b.wait.Go(func() {
		err := b.Wait(waitCtx, t)
		b.mu.Lock()
		b.errs[name] = err
		b.mu.Unlock()
	})
	<-waitCtx.waiting
}

// waitContext closes waiting when Done is called, that is when the request waits.
type waitContext struct {
	context.Context
	waiting chan struct{}
}

func (p *waitContext) Done() <-chan struct{} {
	close(p.waiting)
	return p.Context.Done()
}

// release frees n slots one after another.
func (b *testQueue) release(n int) {
	for range n {
		b.mu.Lock()
		b.free++
		b.mu.Unlock()
		b.Wake()
	}
}

// servedOrder returns the names of the served requests in order.
func (b *testQueue) servedOrder() string { return strings.Join(b.order, " ") }

func ticketWithTarget(target clock.Millis) limit.Ticket {
	return limit.Ticket{Cost: 1000, Target: target, Latest: 100 * clock.Second, Need: 10}
}

func TestOrder(t *testing.T) {
	urgent := ticketWithTarget(900)
	urgent.Urgent = true
	for name, tc := range map[string]struct {
		names   []string
		tickets []limit.Ticket
		after   clock.Millis
		want    string
	}{
		"by target":             {[]string{"a1", "a2", "a3"}, []limit.Ticket{ticketWithTarget(500), ticketWithTarget(300), ticketWithTarget(400)}, 0, "a2 a3 a1"},
		"urgent first":          {[]string{"a1", "a2"}, []limit.Ticket{ticketWithTarget(300), urgent}, 0, "a2 a1"},
		"late ones last":        {[]string{"a1", "a2"}, []limit.Ticket{ticketWithTarget(100), ticketWithTarget(900)}, 200, "a2 a1"},
		"across workspaces too": {[]string{"a1", "b1", "a2"}, []limit.Ticket{ticketWithTarget(500), ticketWithTarget(300), ticketWithTarget(400)}, 0, "b1 a2 a1"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestQueue()
			for i, name := range tc.names {
				b.submit(t.Context(), name, tc.tickets[i])
			}
			b.manual.Advance(tc.after)
			b.release(len(tc.names))
			b.wait.Wait()
			is.New(t).Equal(b.servedOrder(), tc.want)
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
		"equal":        {false, 1, 14, 26},
		"three to one": {false, 3, 24, 16},
		"unfair":       {true, 1, 0, 40},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestQueue()
			b.Unfair = tc.unfair
			for i := range 100 {
				b.submit(t.Context(), "greedy"+string(rune('0'+i%10))+string(rune('0'+i/10)), ticketWithTarget(200))
			}
			for i := range 30 {
				ticket := ticketWithTarget(2000)
				ticket.Weight = tc.weight
				b.submit(t.Context(), "small"+string(rune('0'+i%10))+string(rune('0'+i/10)), ticket)
			}
			b.release(40)
			small := strings.Count(b.servedOrder(), "small")
			is.True(small >= tc.least)
			is.True(40-small <= tc.most)
			b.release(100)
			b.wait.Wait()
		})
	}
}

func TestRefusals(t *testing.T) {
	t.Run("a full line takes from the largest backlog", func(t *testing.T) {
		is := is.New(t)
		b := newTestQueue()
		b.Max = 3
		for _, name := range []string{"greedy1", "greedy2", "greedy3", "greedy4", "small1"} {
			b.submit(t.Context(), name, ticketWithTarget(500))
		}
		b.release(3)
		b.wait.Wait()
		is.True(codes.Has(b.errs["greedy4"], codes.QueueFull))
		is.Equal(codes.From(b.errs["greedy4"]).Run, codes.NotRun)
		is.NoErr(b.errs["small1"])
		is.Equal(len(b.order), 3)
	})
	t.Run("what can't make its latest instant", func(t *testing.T) {
		is := is.New(t)
		b := newTestQueue()
		ticket := ticketWithTarget(500)
		ticket.Latest = 500
		b.submit(t.Context(), "a1", ticket)
		b.manual.Advance(500)
		b.wait.Wait()
		is.True(codes.Has(b.errs["a1"], codes.DeadlineUnmet))
		is.Equal(b.Len(), 0)
	})
	t.Run("at once by the predicted wait", func(t *testing.T) {
		is := is.New(t)
		b := newTestQueue()
		for i := range 9 {
			b.submit(t.Context(), "a"+string(rune('0'+i)), ticketWithTarget(5000))
		}
		b.manual.Advance(400)
		b.release(2) // 2,000 tokens in 400 ms, and 7 requests wait
		ticket := ticketWithTarget(1000)
		ticket.Latest = 1000
		b.submit(t.Context(), "a99", ticket)
		is.Equal(b.Len(), 7)
		patient := ticketWithTarget(1000)
		b.submit(t.Context(), "a98", patient)
		is.Equal(b.Len(), 8)
		b.release(8)
		b.wait.Wait()
		is.True(codes.Has(b.errs["a99"], codes.DeadlineUnmet))
		is.True(codes.From(b.errs["a99"]).Retry > 0)
		is.NoErr(b.errs["a98"])
	})
	t.Run("a caller that is gone leaves no place taken", func(t *testing.T) {
		is := is.New(t)
		b := newTestQueue()
		ctx, cancel := context.WithCancel(t.Context())
		b.submit(ctx, "a1", ticketWithTarget(500))
		cancel()
		b.wait.Wait()
		is.True(codes.Has(b.errs["a1"], codes.CallerGone))
		is.Equal(codes.From(b.errs["a1"]).Run, codes.NotRun)
		b.release(1)
		is.Equal(b.free, 1)
	})
}

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

func TestBackoffGrowsWithinItsBounds(t *testing.T) {
	is := is.New(t)
	for n, want := range map[int]clock.Millis{1: 10, 2: 20, 3: 40, 30: 1000} {
		for draw := range uint64(50) {
			d := limit.Backoff{}.Delay(n, draw*977)
			is.True(d >= want/2 && d <= want)
		}
	}
}
