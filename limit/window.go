package limit

import (
	"sync"

	"lacewinghook.example/lacewinghook/clock"
)

// Window bounds the extra sends to one service within a sliding span of time,
// as a share of the first sends plus an allowance that all entries split. The
// zero value allows no extra sends.
type Window struct {
	mu    sync.Mutex
	first ring
	extra ring
}

// Quota is what a [Window] allows.
type Quota struct {
	// Span is the length of the window.
	Span clock.Millis
	// Ratio is the extra sends that each first send allows.
	Ratio float64
	// Allowance is this entry's part of the extra sends that are allowed
	// whatever the load.
	Allowance float64
}

// First counts the first send of a request.
func (w *Window) First(now clock.Millis, q Quota) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.first.add(now, q.Span)
}

// Spend counts one extra send if the quota has room for it, and reports
// whether it had.
func (w *Window) Spend(now clock.Millis, q Quota) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	allowed := q.Ratio*float64(w.first.sum(now, q.Span)) + q.Allowance
	if float64(w.extra.sum(now, q.Span)+1) > allowed {
		return false
	}
	w.extra.add(now, q.Span)
	return true
}

// ringParts is the number of parts that a window is counted in.
const ringParts = 20

// ring counts events over a sliding span, in parts. It holds one part more
// than the span, so that no event leaves it early.
type ring struct {
	counts [ringParts + 1]int
	// part is the number of the newest part.
	part int64
}

func (r *ring) add(now, span clock.Millis) {
	r.advance(now, span)
	r.counts[r.part%int64(len(r.counts))]++
}

func (r *ring) sum(now, span clock.Millis) int {
	r.advance(now, span)
	n := 0
	for _, c := range r.counts {
		n += c
	}
	return n
}

// advance drops the parts that are older than the span.
func (r *ring) advance(now, span clock.Millis) {
	part := int64(now) / max(1, int64(span)/ringParts)
	for ; r.part < part; r.part++ {
		if part-r.part > int64(len(r.counts)) {
			r.part = part - int64(len(r.counts))
		}
		r.counts[(r.part+1)%int64(len(r.counts))] = 0
	}
}
