package alloc_test

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/alloc"
	"lacewinghook.example/lacewinghook/clock"
)

// TestOwnerKeepsPriorities guards against an owner that serves the requests of other
// entries without regard to their priorities, and against more bytes on the wire without
// priorities and workspaces.
func TestOwnerKeepsPriorities(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 20, engines(1, 1))
		var wg sync.WaitGroup
		for range pieces / each {
			wg.Go(func() { _, err := s.run(t.Context(), s.entries["e003"], 500, 2000); is.NoErr(err) })
		}
		_ = clock.Clock{}.Sleep(t.Context(), 100)
		var mu sync.Mutex
		var order []int
		for i, priority := range []int{2, 1, 0} {
			now := clock.Clock{}.Now()
			r := alloc.Request{
				Service: service, Workspace: "w", Priority: priority, Tokens: 3000, Pieces: pieces,
				Target: now + 1000, Latest: now + 3000, TimeToFirstToken: 10,
			}
			wg.Go(func() {
				e := s.entries[s.list[4+i].Name]
				is.NoErr(e.Place(t.Context(), r, func(alloc.Choice) {
					mu.Lock()
					defer mu.Unlock()
					order = append(order, priority)
				}))
			})
			_ = clock.Clock{}.Sleep(t.Context(), 10)
		}
		wg.Wait()
		is.Equal(order, []int{0, 1, 2})
	})
	data, err := json.Marshal(alloc.Call{})
	is := is.New(t)
	is.NoErr(err)
	is.True(!strings.Contains(string(data), "priority") && !strings.Contains(string(data), "workspace"))
}
