package edge_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestSlotsAmongManyEntries starts more entries than tell each other their work. It guards
// against calls for which no owner grants a slot, or several do, and against slots that stay
// taken. It isn't parallel: its entries would take the processor from tests of times.
func TestSlotsAmongManyEntries(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	all := []*runningEntry{s.startReady()}
	for range 12 {
		all = append(all, s.startReady(all[0]))
	}
	const calls = 4
	call := func(round string) {
		var wg sync.WaitGroup
		for i, r := range all {
			wg.Go(func() {
				for n := range calls {
					got := r.do(context.Background(), callerRequest{id: fmt.Sprint(round, i, "-", n), path: "/safe/a"})
					is.Equal(got.status, 200)
				}
			})
		}
		wg.Wait()
	}
	// chosen returns the owners that granted slots in a round, empty for the entry itself.
	chosen := func(round string) (owners []string) {
		for _, r := range all {
			for _, e := range r.logs.FilterMessage("relay: replica chosen").FilterFieldKey("slot_owner").All() {
				if m := e.ContextMap(); strings.HasPrefix(m["request"].(string), round) {
					owners = append(owners, m["slot_owner"].(string))
				}
			}
		}
		return owners
	}
	var last []string
	rounds := 0
	s.until("one owner grants the slots of all calls", func() bool {
		rounds++
		round := fmt.Sprint("round", rounds, "-")
		call(round)
		last = chosen(round)
		slices.Sort(last)
		return len(last) == calls*len(all) && len(slices.Compact(slices.Clone(last))) == 2
	})
	// The owner needs no message for its own calls.
	is.Equal(last[calls-1], "")
	is.True(last[calls] != "")
	s.until("no slot is taken", func() bool {
		return !slices.ContainsFunc(all, func(r *runningEntry) bool { return !strings.Contains(r.metricsPage(), "lacewinghook_slots_calls 0") })
	})
	// The clean-up stops the entries one after the other.
	for _, r := range all {
		r.stop()
	}
}
