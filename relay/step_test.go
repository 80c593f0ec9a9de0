package relay_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/relay"
)

// stepped returns the events after the given ID, up to 120, whose IDs increase by step.
func stepped(after, step int) string {
	var b strings.Builder
	for id := after + step; id <= 120; id += step {
		fmt.Fprintf(&b, "id: %d\ndata: token%d\n\n", id, id)
	}
	return b.String()
}

// TestStepOfEventIDs guards against a stream that is cut where it continues because the
// IDs of its events increase by more than one.
func TestStepOfEventIDs(t *testing.T) {
	for _, step := range []int{1, 2, 10} {
		for _, seen := range []int{1, 2, 5} {
			t.Run(fmt.Sprintf("step %d, broken after %d events", step, seen), func(t *testing.T) {
				is := is.New(t)
				u := &upstreams{}
				broken := false
				u.send = func(_ core.Upstream, s relay.SendRequest) (relay.Answer, error) {
					last, _ := strconv.Atoi(s.LastEventID) // 0 if it is empty
					text := stepped(last, step)
					if broken {
						broken = false
						return streamAnswer("first", truncated(text[:strings.Index(text, fmt.Sprintf("id: %d\n", (seen+1)*step))])), nil
					}
					return streamAnswer("next", strings.NewReader(text)), nil
				}
				r, _ := newRelay(u, &budget{retriesLeft: 9})
				run := func(last string) string {
					req := request(r, core.HostRoute{Resumable: true, Profile: core.Profile{Retries: 2}})
					req.Opaque.LastEventID = last
					s := &sink{}
					is.NoErr(r.Run(context.Background(), req, s))
					return s.body.String()
				}
				if seen == 1 {
					// One event doesn't show the step, a whole stream does.
					is.Equal(run(""), stepped(0, step))
				}
				broken = true
				is.Equal(run(""), stepped(0, step))
				// The next stream is one that its caller resumes.
				is.Equal(run("40"), stepped(40, step))
			})
		}
	}
}
