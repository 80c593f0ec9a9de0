package alloc_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/alloc"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// scriptedPeers answers the calls of each group as a test sets it.
type scriptedPeers struct {
	alloc.Peers
	// now answers calls that don't wait, and waiting those that do.
	now, waiting map[int]alloc.Result
	waits        []int
}

// Place implements [alloc.Peers].
func (p *scriptedPeers) Place(_ context.Context, _ string, c alloc.Call) (alloc.Result, error) {
	if c.Wait == 0 {
		return p.now[c.Group], nil
	}
	p.waits = append(p.waits, c.Group)
	return p.waiting[c.Group], nil
}

// TestOtherGroupIsAsked guards against a request that is rejected since the group at which
// it waits has no capacity in time, while the other group has.
func TestOtherGroupIsAsked(t *testing.T) {
	late := alloc.Result{Code: codes.DeadlineUnmet, Message: "late", Retry: 900}
	full := alloc.Result{Code: codes.QueueFull, Message: "full", Retry: 400}
	none := alloc.Result{Code: codes.NoUpstream, Message: "none"}
	placed := alloc.Result{Choice: &alloc.Choice{Decode: "d"}}
	for name, c := range map[string]struct {
		// The answers of group 0, which has fewer waiting requests, and of group 1.
		now, waiting [2]alloc.Result
		waits        []int
		code         codes.Code
		retry        clock.Millis
	}{
		"placed at the first":           {[2]alloc.Result{{Waiting: 1}, {Waiting: 2}}, [2]alloc.Result{placed, placed}, []int{0}, 0, 0},
		"too late at the first":         {[2]alloc.Result{{Waiting: 1}, {Waiting: 2}}, [2]alloc.Result{late, placed}, []int{0, 1}, 0, 0},
		"no space at the first":         {[2]alloc.Result{{Waiting: 1}, {Waiting: 2}}, [2]alloc.Result{full, placed}, []int{0, 1}, 0, 0},
		"too late at both":              {[2]alloc.Result{{Waiting: 1}, {Waiting: 2}}, [2]alloc.Result{late, full}, []int{0, 1}, codes.QueueFull, 400},
		"too late at once":              {[2]alloc.Result{late, {Waiting: 2}}, [2]alloc.Result{late, placed}, []int{1}, 0, 0},
		"too late at once, then again":  {[2]alloc.Result{late, {Waiting: 2}}, [2]alloc.Result{placed, late}, []int{1}, codes.DeadlineUnmet, 900},
		"no engines at the second":      {[2]alloc.Result{{Waiting: 1}, none}, [2]alloc.Result{late, placed}, []int{0}, codes.DeadlineUnmet, 900},
		"no engines at the first after": {[2]alloc.Result{{Waiting: 1}, {Waiting: 2}}, [2]alloc.Result{none, placed}, []int{0}, codes.NoUpstream, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for range 4 { // the groups are drawn in either order
				is := is.New(t)
				p := &scriptedPeers{
					now: map[int]alloc.Result{0: c.now[0], 1: c.now[1]}, waiting: map[int]alloc.Result{0: c.waiting[0], 1: c.waiting[1]},
				}
				client := &alloc.Client{
					Desk: &alloc.Desk{}, Peers: p, Self: core.Instance{Name: "e"},
					Entries: func() []core.Instance { return []core.Instance{{Name: "o", Peer: "o"}} },
					Groups:  func(string) alloc.Groups { return alloc.Groups{N: 2, Decodes: []int{1, 1}} },
					GroupOf: func(string) (string, int, bool) { return "", 0, false },
				}
				err := client.Place(t.Context(), alloc.Request{Service: service, Latest: 1 << 40}, func(alloc.Choice) {})
				is.Equal(p.waits, c.waits)
				is.Equal(err == nil, c.code == 0)
				if err != nil {
					is.Equal(codes.From(err).Code, c.code)
					is.Equal(codes.From(err).Run, codes.NotRun)
					is.Equal(codes.From(err).RetryAfter, c.retry)
				}
			}
		})
	}
}
