package limit

import (
	"sync"

	"lacewinghook.example/lacewinghook/clock"
)

// Budget bounds the new attempts of all requests together to a share of the
// recent successes, so that retries don't grow with the failures. The zero
// value allows a tenth.
type Budget struct {
	// Share is the number of new attempts that one success earns; zero is
	// defaultShare.
	Share float64
	// Burst is the number that may be made before any success, and the most
	// that is saved up; zero is defaultBurst.
	Burst float64

	mu sync.Mutex
	// spent is how far the budget is below Burst.
	spent float64
}

// The defaults of a [Budget].
const (
	defaultShare = 0.1
	defaultBurst = 50.0
)

// Earn counts a success, which is worth a share of a new attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-orDefault(b.Share, defaultShare))
}

// Spend takes one new attempt from the budget and reports whether there was
// one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > orDefault(b.Burst, defaultBurst) {
		return false
	}
	b.spent++
	return true
}

// Left returns the number of new attempts that may be made now.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return orDefault(b.Burst, defaultBurst) - b.spent
}

func orDefault(x, none float64) float64 {
	if x == 0 {
		return none
	}
	return x
}

// Backoff gives the delays before new attempts. The zero value begins at
// defaultBackoff and ends at maxBackoff.
type Backoff struct {
	Base clock.Millis
	Max  clock.Millis
}

// The defaults of a [Backoff].
const (
	defaultBackoff clock.Millis = 10
	maxBackoff                  = 1 * clock.Second
)

// Delay returns the delay before the n-th new attempt, counted from 1. It
// doubles with each one, and draw, a random number, picks it from the upper
// half, so that requests that failed together come back apart.
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
