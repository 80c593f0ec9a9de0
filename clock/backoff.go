package clock

import (
	"context"
	"crypto/rand"
	"encoding/binary"
)

// Backoff is how long to pause between two tries. The pause doubles with each
// try from First to Last, and has jitter of up to the same again, so that many
// who wait don't come back at once.
type Backoff struct {
	First, Last Millis
	// Draw returns random numbers; nil draws them from the system.
	Draw func() uint64
}

// maxDoublings keeps the pause from overflowing.
const maxDoublings = 30

// Pause waits before the n-th new try, counted from zero, or until ctx ends,
// and then returns the context's error.
func (c Clock) Pause(ctx context.Context, b Backoff, n int) error {
	d := min(b.First<<min(n, maxDoublings), b.Last)
	d += Millis(b.draw() % uint64(max(1, d)))
	return c.Sleep(ctx, d)
}

func (b Backoff) draw() uint64 {
	if b.Draw != nil {
		return b.Draw()
	}
	var data [8]byte
	// crypto/rand.Read never returns an error; it ends the program instead.
	_, _ = rand.Read(data[:])
	return binary.BigEndian.Uint64(data[:])
}
