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

// bench is a line before a number of free places.
type bench struct {
	limit.Line
	manual clock.Manual
	mu     sync.Mutex
	free   int
	order  []string
	wait   sync.WaitGroup
	errs   map[string]error
}

func newBench() *bench {
	b := &bench{errs: make(map[string]error)}
	b.Clock = clock.Clock{Manual: &b.manual}
	return b
}

// ask puts a request into the line and returns once it stands there or is
// settled.
func (b *bench) ask(ctx context.Context, name string, t limit.Ticket) {
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
	parked := &parking{Context: ctx, parked: make(chan struct{})}
	b.wait.Go(func() {
		err := b.Wait(parked, t)
		b.mu.Lock()
		b.errs[name] = err
		b.mu.Unlock()
	})
	<-parked.parked
}

// parking is a context that tells when it is waited for.
type parking struct {
	context.Context
	parked chan struct{}
}

func (p *parking) Done() <-chan struct{} {
	close(p.parked)
	return p.Context.Done()
}

// serve frees n places one after another.
func (b *bench) serve(n int) {
	for range n {
		b.mu.Lock()
		b.free++
		b.mu.Unlock()
		b.Wake()
	}
}

func (b *bench) got() string { return strings.Join(b.order, " ") }

func at(target clock.Millis) limit.Ticket {
	return limit.Ticket{Cost: 1000, Target: target, Latest: 100 * clock.Second, Need: 10}
}

func TestOrder(t *testing.T) {
	urgent := at(900)
	urgent.Urgent = true
	for name, tc := range map[string]struct {
		names   []string
		tickets []limit.Ticket
		after   clock.Millis
		want    string
	}{
		"by target":             {[]string{"a1", "a2", "a3"}, []limit.Ticket{at(500), at(300), at(400)}, 0, "a2 a3 a1"},
		"urgent first":          {[]string{"a1", "a2"}, []limit.Ticket{at(300), urgent}, 0, "a2 a1"},
		"late ones last":        {[]string{"a1", "a2"}, []limit.Ticket{at(100), at(900)}, 200, "a2 a1"},
		"across workspaces too": {[]string{"a1", "b1", "a2"}, []limit.Ticket{at(500), at(300), at(400)}, 0, "b1 a2 a1"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench()
			for i, name := range tc.names {
				b.ask(t.Context(), name, tc.tickets[i])
			}
			b.manual.Advance(tc.after)
			b.serve(len(tc.names))
			b.wait.Wait()
			is.New(t).Equal(b.got(), tc.want)
		})
	}
}

// A greedy workspace with the earlier targets gets its share and no more; a
// heavier one gets more.
func TestShares(t *testing.T) {
	for name, tc := range map[string]struct {
		unfair   bool
		weight   int
		least    int
		greedily int
	}{
		"equal":        {false, 1, 14, 26},
		"three to one": {false, 3, 24, 16},
		"unfair":       {true, 1, 0, 40},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench()
			b.Unfair = tc.unfair
			for i := range 100 {
				b.ask(t.Context(), "greedy"+string(rune('0'+i%10))+string(rune('0'+i/10)), at(200))
			}
			for i := range 30 {
				ticket := at(2000)
				ticket.Weight = tc.weight
				b.ask(t.Context(), "small"+string(rune('0'+i%10))+string(rune('0'+i/10)), ticket)
			}
			b.serve(40)
			small := strings.Count(b.got(), "small")
			is.True(small >= tc.least)
			is.True(40-small <= tc.greedily)
			b.serve(100)
			b.wait.Wait()
		})
	}
}

func TestRefusals(t *testing.T) {
	t.Run("a full line takes from the largest backlog", func(t *testing.T) {
		is := is.New(t)
		b := newBench()
		b.Max = 3
		for _, name := range []string{"greedy1", "greedy2", "greedy3", "greedy4", "small1"} {
			b.ask(t.Context(), name, at(500))
		}
		b.serve(3)
		b.wait.Wait()
		is.True(codes.Has(b.errs["greedy4"], codes.QueueFull))
		is.Equal(codes.From(b.errs["greedy4"]).Run, codes.NotRun)
		is.NoErr(b.errs["small1"])
		is.Equal(len(b.order), 3)
	})
	t.Run("what can't make its latest instant", func(t *testing.T) {
		is := is.New(t)
		b := newBench()
		ticket := at(500)
		ticket.Latest = 500
		b.ask(t.Context(), "a1", ticket)
		b.manual.Advance(500)
		b.wait.Wait()
		is.True(codes.Has(b.errs["a1"], codes.DeadlineUnmet))
		is.Equal(b.Len(), 0)
	})
	t.Run("at once by the predicted wait", func(t *testing.T) {
		is := is.New(t)
		b := newBench()
		for i := range 9 {
			b.ask(t.Context(), "a"+string(rune('0'+i)), at(5000))
		}
		b.manual.Advance(400)
		b.serve(2) // 2,000 tokens in 400 ms, and 7 requests wait
		ticket := at(1000)
		ticket.Latest = 1000
		b.ask(t.Context(), "a99", ticket)
		is.Equal(b.Len(), 7)
		patient := at(1000)
		b.ask(t.Context(), "a98", patient)
		is.Equal(b.Len(), 8)
		b.serve(8)
		b.wait.Wait()
		is.True(codes.Has(b.errs["a99"], codes.DeadlineUnmet))
		is.True(codes.From(b.errs["a99"]).Retry > 0)
		is.NoErr(b.errs["a98"])
	})
	t.Run("a caller that is gone leaves no place taken", func(t *testing.T) {
		is := is.New(t)
		b := newBench()
		ctx, cancel := context.WithCancel(t.Context())
		b.ask(ctx, "a1", at(500))
		cancel()
		b.wait.Wait()
		is.True(codes.Has(b.errs["a1"], codes.CallerGone))
		is.Equal(codes.From(b.errs["a1"]).Run, codes.NotRun)
		b.serve(1)
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
