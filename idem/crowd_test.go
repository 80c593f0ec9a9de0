package idem_test

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/idem"
)

// slowTable is a table whose transactions take a while.
type slowTable struct {
	memory
	duration clock.Millis
	commits  atomic.Int64
}

// Commit implements [idem.Table].
func (s *slowTable) Commit(ctx context.Context, writes ...core.Write) (core.CommitResult, error) {
	s.commits.Add(1)
	_ = clock.Clock{}.Sleep(ctx, s.duration)
	return s.memory.Commit(ctx, writes...)
}

// TestCrowdBeforeSlowTable guards against orders that keep each other from ending: those
// that are claimed too late are withdrawn and sent again, which takes more writes than to
// run them. Each order is sent until it is answered, as after an outage.
func TestCrowdBeforeSlowTable(t *testing.T) {
	const (
		orders   = 400
		pause    = 10 * clock.Millis(1)
		patience = 20 * clock.Second
	)
	for _, duration := range []clock.Millis{100, 150, 200, 250} {
		t.Run(fmt.Sprintf("%d ms", duration), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := &slowTable{duration: duration}
				var runs, tries atomic.Int64
				ex := &idem.Executor{Table: table, Sender: sendFunc(func(core.Call) (core.Answer, error) {
					runs.Add(1)
					return core.Answer{}, nil
				})}
				now := clock.Clock{}.Now
				start := now()
				var wg sync.WaitGroup
				var late atomic.Int64
				for i := range orders {
					wg.Go(func() {
						for {
							call := order(strconv.Itoa(i), "card")
							call.Deadline = now() + callTimeout
							tries.Add(1)
							_, err := ex.Do(context.Background(), call)
							if err == nil {
								return
							}
							if r := codes.From(err).Run; r != codes.NotRun && !codes.Has(err, codes.InProgress) {
								t.Errorf("order %d rejected as run %q: %v", i, r, err)
							}
							if now()-start > patience {
								late.Add(1)
								return
							}
							_ = clock.Clock{}.Sleep(context.Background(), pause)
						}
					})
				}
				wg.Wait()
				t.Logf("%d ms, %d tries, %d runs, %d commits", now()-start, tries.Load(), runs.Load(), table.commits.Load())
				is.NoErr(ex.Close(context.Background()))
				is.Equal(late.Load(), int64(0))
				is.Equal(runs.Load(), int64(orders))
				is.Equal(ex.Pending(), 0)
			})
		})
	}
}
