package limit_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/limit"
)

// ticketWithPriority returns a ticket with a priority and a target.
func ticketWithPriority(priority int, target clock.Millis) limit.Ticket {
	t := ticketWithTarget(target)
	t.Priority = priority
	return t
}

// TestMoreUrgentFirst guards against a request that is served or kept before a more
// urgent one, whatever their targets and workspaces.
func TestMoreUrgentFirst(t *testing.T) {
	t.Run("order", func(t *testing.T) {
		q := newTestQueue()
		for i, p := range []int{2, 0, 1, 0} {
			q.submit(t.Context(), fmt.Sprintf("%c%d", 'a'+i%2, i), ticketWithPriority(p, clock.Millis(300+100*i)))
		}
		q.manual.Advance(200)
		q.release(4)
		q.wait.Wait()
		is.New(t).Equal(q.servedOrder(), "b1 b3 a2 a0")
	})
	t.Run("a missed target doesn't change the priority", func(t *testing.T) {
		q := newTestQueue()
		q.submit(t.Context(), "a1", ticketWithPriority(0, 100))
		q.submit(t.Context(), "a2", ticketWithPriority(1, 900))
		q.manual.Advance(200)
		q.release(2)
		q.wait.Wait()
		is.New(t).Equal(q.servedOrder(), "a1 a2")
	})
	t.Run("free capacity isn't kept for less urgent ones", func(t *testing.T) {
		is := is.New(t)
		q := newTestQueue()
		q.submit(t.Context(), "a1", ticketWithPriority(1, 900))
		now := ticketWithPriority(0, 900)
		now.Try = func() (bool, error) { return true, nil }
		ok, err := q.TryNow(now)
		is.NoErr(err)
		is.True(ok)
		now.Priority = 1
		ok, _ = q.TryNow(now)
		is.True(!ok)
		q.release(1)
		q.wait.Wait()
	})
	t.Run("the least urgent of a full queue gives way", func(t *testing.T) {
		is := is.New(t)
		q := newTestQueue()
		q.MaxWaiting = 3
		for i, p := range []int{1, 2, 1, 0, 0, 0, 1} {
			q.submit(t.Context(), fmt.Sprint("a", i), ticketWithPriority(p, 500))
		}
		q.release(3)
		q.wait.Wait()
		for i, refused := range []bool{true, true, true, false, false, false, true} {
			is.Equal(codes.Has(q.errs[fmt.Sprint("a", i)], codes.QueueFull), refused)
		}
	})
	t.Run("the predicted wait counts what goes ahead", func(t *testing.T) {
		is := is.New(t)
		q := newTestQueue()
		for i := range 9 {
			q.submit(t.Context(), fmt.Sprint("a", i), ticketWithPriority(1, 5000))
		}
		q.manual.Advance(400)
		q.release(2) // 2,000 tokens in 400 ms, and 7 requests wait
		soon := ticketWithPriority(0, 1000)
		soon.Latest = 1000
		q.submit(t.Context(), "b1", soon)
		is.Equal(q.Len(), 8)
		soon.Priority = 2
		q.submit(t.Context(), "b2", soon)
		is.Equal(q.Len(), 8)
		q.release(8)
		q.wait.Wait()
		is.NoErr(q.errs["b1"])
		is.True(codes.Has(q.errs["b2"], codes.DeadlineUnmet))
	})
}

// kindOfLoad is one kind of request in a replayed load.
type kindOfLoad struct {
	workspace string
	priority  int
	perSecond float64
	patience  clock.Millis
}

// count counts the outcomes of requests.
type count struct{ served, all int }

// share returns the served share.
func (c count) share() float64 { return float64(c.served) / float64(max(1, c.all)) }

// replay runs a load for 120 s on memory of a group of engines, and returns the counts of
// all requests, of each kind and of the large ones of each kind. A request is large if it
// has more than 1.5 times the mean of its kind.
func replay(t *testing.T, kinds []kindOfLoad, pieces int) (all count, byKind, large []count) {
	const (
		span      = 120 * clock.Second
		tokens    = 3000
		spread    = 0.5
		hold      = 1 * clock.Second
		maxTokens = 16000
	)
	rng := rand.New(rand.NewPCG(7, 11))
	q := newTestQueue()
	free := pieces
	// results receives the outcome of each request once it is known.
	byKind, large = make([]count, len(kinds)), make([]count, len(kinds))
	record := func(kind int, isLarge, served bool) {
		q.mu.Lock()
		defer q.mu.Unlock()
		for _, c := range []*count{&all, &byKind[kind], &large[kind]} {
			if c == &large[kind] && !isLarge {
				continue
			}
			c.all++
			if served {
				c.served++
			}
		}
	}
	for now := clock.Millis(0); now < span; now++ {
		for i, k := range kinds {
			if rng.Float64() >= k.perSecond/1000 {
				continue
			}
			cost := min(maxTokens, int(tokens*math.Exp(spread*rng.NormFloat64()-spread*spread/2)))
			need := (cost + 500) / 1000
			ticket := limit.Ticket{
				Workspace: k.workspace, Priority: k.priority, Cost: cost,
				Target: now + 800, Latest: now + 800 + k.patience, TimeToFirstToken: clock.Millis(cost / 15),
			}
			ticket.Try = func() (bool, error) {
				if free < need {
					return false, nil
				}
				free -= need
				q.Clock.AfterFunc(hold, func() { free += need; q.Wake() })
				return true, nil
			}
			ctx := &waitContext{Context: context.Background(), waiting: make(chan struct{})}
			q.wait.Go(func() {
				err := q.Wait(ctx, ticket)
				record(i, cost > 1.5*tokens, err == nil)
			})
			<-ctx.waiting
		}
		q.manual.Advance(1)
	}
	q.manual.Advance(10 * clock.Second)
	q.wait.Wait()
	return all, byKind, large
}

// TestSharesOfLessUrgent guards against requests that are never served: those that wait
// behind more urgent ones, those of a workspace that sends many times its usual load, and
// large ones.
func TestSharesOfLessUrgent(t *testing.T) {
	for name, kinds := range map[string][]kindOfLoad{
		"urgent work takes all capacity": {{"a", 0, 20, 700}, {"b", 1, 5, 700}, {"c", 2, 5, 1000}},
		"one workspace sends too much":   {{"a", 0, 2, 700}, {"b", 0, 2, 700}, {"c", 0, 40, 700}, {"d", 0, 12, 700}},
		"one workspace, three routes":    {{"a", 0, 12, 0}, {"a", 1, 10, 300}, {"a", 2, 10, 1000}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all, byKind, large := replay(t, kinds, 40)
			t.Logf("all %d of %d", all.served, all.all)
			for i, c := range byKind {
				t.Logf("%+v: %d of %d, large %d of %d", kinds[i], c.served, c.all, large[i].served, large[i].all)
			}
			for i, c := range byKind {
				is.True(c.share() >= all.share()/4)
				is.True(large[i].share() >= c.share()/2)
				// More urgent kinds aren't served less.
				for j := range i {
					is.True(kinds[j].priority >= kinds[i].priority || byKind[j].share() >= c.share())
				}
			}
		})
	}
}
