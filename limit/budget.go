package limit

import (
	"sync"

	"lacewinghook.example/lacewinghook/clock"
)

// Budget bounds the retries of all requests together to a share of the recent
// successes, so that retries don't grow with the failures. The zero value allows
// one retry per ten successes.
type Budget struct {
	// Share is the number of retries that one success earns; zero means
	// defaultShare.
	Share float64
	// Burst is the number of retries allowed before any success, and the largest
	// number that the budget holds; zero means defaultBurst.
	Burst float64

	mu sync.Mutex
	// spent is the number of retries taken from Burst and not yet earned back.
	spent float64
}

// Defaults of a [Budget], in retries.
const (
	defaultShare = 0.1
	defaultBurst = 50.0
)

// Earn records a success, which adds Share to the budget.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-orDefault(b.Share, defaultShare))
}

// Spend takes one retry from the budget and reports whether one was left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > orDefault(b.Burst, defaultBurst) {
		return false
	}
	b.spent++
	return true
}

// Left returns the number of retries that may be made now.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return orDefault(b.Burst, defaultBurst) - b.spent
}

// orDefault returns x, or fallback if x is zero.
func orDefault(x, fallback float64) float64 {
	if x == 0 {
		return fallback
	}
	return x
}

// Backoff computes the delays before retries. The zero value starts at
// defaultBackoff and is capped at maxBackoff.
type Backoff struct {
	Base clock.Millis
	Max  clock.Millis
}

// Defaults of a [Backoff].
const (
	defaultBackoff clock.Millis = 10
	maxBackoff                  = 1 * clock.Second
)

// Delay returns the delay before the n-th retry, counted from 1. Its upper limit
// doubles with each retry up to Max. The random number draw selects the delay from
// the upper half of the range, so that requests that failed together retry at
// different times.
func (b Backoff) Delay(n int, draw uint64) clock.Millis {
	d, limit := b.Base, b.Max
	if d == 0 {
		d = defaultBackoff
	}
	if limit == 0 {
		limit = maxBackoff
	}
	for ; n > 1 && d < limit; n-- {
		d *= 2
	}
	d = min(d, limit)
	return d - clock.Millis(draw%uint64(d/2+1))
}
