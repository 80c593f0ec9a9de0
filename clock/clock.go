package clock

import (
	"context"
	"time"
)

// Millis is an instant or a duration in milliseconds. Names of fields and
// parameters make clear which of the two they hold.
type Millis int64

// Second and Minute are durations in milliseconds.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
)

// Duration converts d to a [time.Duration].
func (d Millis) Duration() time.Duration {
	return time.Duration(d) * time.Millisecond
}

// FromDuration converts d to milliseconds, rounding towards zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// origin is instant zero of the monotonic clock. Its type [time.Time] carries
// the monotonic reading that [time.Since] uses.
var origin = time.Now()

// Clock reads the time and starts timers. The zero value uses the machine's
// monotonic clock.
type Clock struct {
	// Manual, if not nil, replaces the machine's clock in tests.
	Manual *Manual
}

// Now returns the current instant.
func (c Clock) Now() Millis {
	if c.Manual != nil {
		return c.Manual.Now()
	}
	return FromDuration(time.Since(origin))
}

// AfterFunc calls f after d: in its own goroutine with the machine's clock, in
// the goroutine that calls [Manual.Advance] with a manual clock. The returned
// function stops the timer and reports whether it prevented the call.
func (c Clock) AfterFunc(d Millis, f func()) (stop func() bool) {
	if c.Manual != nil {
		return c.Manual.afterFunc(d, f)
	}
	return time.AfterFunc(d.Duration(), f).Stop
}

// Sleep waits for d. If ctx ends first, it returns the context's error.
func (c Clock) Sleep(ctx context.Context, d Millis) error {
	if d <= 0 {
		return ctx.Err()
	}
	done := make(chan struct{})
	stop := c.AfterFunc(d, func() { close(done) })
	defer stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Every sleeps for d and calls f, repeatedly, until ctx ends. Calls never
// overlap: d elapses between the end of a call and the start of the next one.
func (c Clock) Every(ctx context.Context, d Millis, f func(context.Context)) {
	for c.Sleep(ctx, d) == nil {
		f(ctx)
	}
}
