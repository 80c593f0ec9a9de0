package clock

import (
	"context"
	"crypto/rand"
	"encoding/binary"
)

// Backoff configures exponential backoff with jitter. The base delay doubles
// with each retry from Initial up to Max. Random jitter below the base delay is
// added, so that clients that failed together don't retry together.
type Backoff struct {
	Initial, Max Millis
	// Draw returns random numbers; nil means crypto/rand.
	Draw func() uint64
}

// maxDoublings keeps the shift in [Clock.Backoff] from overflowing.
const maxDoublings = 30

// Backoff sleeps for the delay before retry n, counted from zero. If ctx ends
// first, it returns the context's error.
func (c Clock) Backoff(ctx context.Context, b Backoff, n int) error {
	d := min(b.Initial<<min(n, maxDoublings), b.Max)
	d += Millis(b.draw() % uint64(max(1, d)))
	return c.Sleep(ctx, d)
}

// draw returns a random number, from which [Clock.Backoff] derives the jitter.
func (b Backoff) draw() uint64 {
	if b.Draw != nil {
		return b.Draw()
	}
	var data [8]byte
	// crypto/rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(data[:])
	return binary.BigEndian.Uint64(data[:])
}
