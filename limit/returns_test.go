package limit_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// TestReturnsAreSpread guards against callers that are rejected together and return
// together, against less urgent ones that return before more urgent ones, and against
// times that callers don't wait for.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	q := newTestQueue()
	for i := range 20 {
		q.submit(t.Context(), fmt.Sprint("a", i), ticketWithPriority(0, 9000))
	}
	q.manual.Advance(400)
	q.release(8) // 20 tokens each millisecond, and 12 requests wait: 600 ms
	// reject returns the times after which n callers that come together may return.
	reject := func(priority, n int) (after []clock.Millis) {
		for range n {
			ticket := ticketWithPriority(priority, 410)
			ticket.Latest = 410
			ticket.Try = func() (bool, error) { return false, nil }
			err := q.Wait(t.Context(), ticket)
			is.True(codes.Has(err, codes.DeadlineUnmet))
			after = append(after, codes.From(err).RetryAfter)
		}
		return after
	}
	first, second := reject(0, 10), reject(1, 5)
	// The work ahead takes 600 ms, and the request of each caller 50 ms, five times as
	// long beside new requests.
	for i, d := range first {
		is.True(d >= 600+250*clock.Millis(i) && d < 600+250*clock.Millis(i+1))
	}
	for _, d := range second {
		is.True(d >= first[len(first)-1])
	}
	var near int
	for _, d := range reject(1, 200) {
		is.True(d <= 4600)
		if d > 3000 && d <= 3500 {
			near++
		}
	}
	is.True(near < 100)
	q.release(12)
	q.wait.Wait()
}
