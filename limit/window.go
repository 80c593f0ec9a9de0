package limit

import (
	"sync"

	"lacewinghook.example/lacewinghook/clock"
)

// Window bounds the extra sends to one service within a sliding time window. The
// limit is a share of the first sends plus an allowance that is split between all
// entries. The zero value is ready to use. Each call passes the limit as a [Quota];
// the zero Quota allows no extra sends.
type Window struct {
	mu    sync.Mutex
	first slidingCounter
	extra slidingCounter
}

// Quota is the limit of a [Window].
type Quota struct {
	// Span is the length of the window.
	Span clock.Millis
	// Ratio is the number of extra sends allowed per first send.
	Ratio float64
	// Allowance is this entry's part of the extra sends that are allowed at any
	// load.
	Allowance float64
}

// CountFirst counts the first send of a request.
func (w *Window) CountFirst(now clock.Millis, q Quota) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.first.add(now, q.Span, 1)
}

// Spend counts n extra sends if the quota allows all of them, and reports whether it
// does.
func (w *Window) Spend(now clock.Millis, q Quota, n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	allowed := q.Ratio*float64(w.first.sum(now, q.Span)) + q.Allowance
	if float64(w.extra.sum(now, q.Span)+n) > allowed {
		return false
	}
	w.extra.add(now, q.Span, n)
	return true
}

// Return takes back n extra sends that were counted at since or later and have not been
// made. Those of which since is older than the window are not taken back.
func (w *Window) Return(since, now clock.Millis, q Quota, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// Taken back in a later bucket than they were counted in, they would allow more sends
	// once the bucket in which they were counted has passed.
	w.extra.addAt(since, now, q.Span, -n)
}

// windowBuckets is the number of buckets into which a window is divided.
const windowBuckets = 20

// slidingCounter counts events over a sliding window in buckets. It has one bucket
// more than the window, so that no event is dropped early.
type slidingCounter struct {
	counts [windowBuckets + 1]int
	// bucket is the number of the newest bucket since time zero.
	bucket int64
}

// add counts n events.
func (c *slidingCounter) add(now, span clock.Millis, n int) {
	c.advance(now, span)
	c.counts[c.bucket%int64(len(c.counts))] += n
}

// addAt counts n events of an earlier instant, unless that is older than the window.
func (c *slidingCounter) addAt(at, now, span clock.Millis, n int) {
	c.advance(now, span)
	bucket := bucketOf(at, span)
	if c.bucket-bucket < int64(len(c.counts)) {
		c.counts[bucket%int64(len(c.counts))] += n
	}
}

// bucketOf returns the number of the bucket of an instant.
func bucketOf(at, span clock.Millis) int64 { return int64(at) / max(1, int64(span)/windowBuckets) }

// sum returns the number of events within the window.
func (c *slidingCounter) sum(now, span clock.Millis) int {
	c.advance(now, span)
	n := 0
	for _, count := range c.counts {
		n += count
	}
	return n
}

// advance clears the buckets that are older than the window.
func (c *slidingCounter) advance(now, span clock.Millis) {
	newest := bucketOf(now, span)
	for ; c.bucket < newest; c.bucket++ {
		if newest-c.bucket > int64(len(c.counts)) {
			c.bucket = newest - int64(len(c.counts))
		}
		c.counts[(c.bucket+1)%int64(len(c.counts))] = 0
	}
}
