package limit

import (
	"maps"
	"math"
	"math/rand/v2"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// Parameters of the times after which rejected callers may return.
const (
	// minRetryAfter is the shortest such time.
	minRetryAfter clock.Millis = 50
	// maxRetryAfter is the longest one: callers wait for at most a third of their
	// remaining time, which is 14 s with the usual deadline.
	maxRetryAfter clock.Millis = 4600
	// returnShare is the part of the throughput that is left to callers that return.
	// The rest serves new requests. With half of it, callers return into the same burst
	// and are rejected again.
	returnShare = 0.2
)

// returns plans when rejected callers return, so that those rejected together don't
// return together. The zero value is ready to use.
type returns struct {
	// until holds, by priority, the time up to which returns are planned.
	until map[int]clock.Millis
}

// plan returns the time after which a caller may return: once the work ahead is done, in
// drain, and the callers that were rejected before it and aren't less urgent had their
// time to return. span is the time in which the request can be served. If that is more
// than callers wait for, the returns are spread over the time up to maxRetryAfter.
func (r *returns) plan(priority int, now, drain, span clock.Millis) clock.Millis {
	maps.DeleteFunc(r.until, func(_ int, until clock.Millis) bool { return until <= now })
	from := now + drain
	for p, until := range r.until {
		if p <= priority {
			from = max(from, until)
		}
	}
	until := from + max(1, span)
	if until > now+maxRetryAfter {
		from = min(now+drain, now+maxRetryAfter/2)
		return from - now + rand.N(now+maxRetryAfter-from)
	}
	if r.until == nil {
		r.until = make(map[int]clock.Millis)
	}
	r.until[priority] = until
	return max(minRetryAfter, from-now+rand.N(until-from))
}

// withRetryAfter returns the error with the time after which the caller of a rejected
// request may return. It stays zero if the throughput isn't known, so that nothing can be
// predicted.
func (q *Queue) withRetryAfter(e *codes.Error, t *Ticket, now clock.Millis) error {
	rate := q.throughput.rate(now)
	if rate <= 0 {
		return e
	}
	ahead := 0
	for k, s := range q.subqueues {
		if k.priority <= t.Priority {
			ahead += s.timelyCost + s.tardyCost
		}
	}
	return e.WithRetryAfter(q.returns.plan(t.Priority, now, millis(float64(ahead)/rate), millis(float64(t.Cost)/(rate*returnShare))))
}

// millis converts a time in milliseconds.
func millis(d float64) clock.Millis { return clock.Millis(min(d, math.MaxInt32)) }
