package clock

import (
	"context"
	"time"
)

// Millis is an instant or a duration in milliseconds. Which of the two is
// meant follows from the name of the field or the parameter.
type Millis int64

// Second and Minute are durations in milliseconds.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
)

// Std returns d as a [time.Duration], for the standard library's calls.
func (d Millis) Std() time.Duration {
	return time.Duration(d) * time.Millisecond
}

// Of returns the whole milliseconds in d.
func Of(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// origin is the zero instant of the machine's monotonic clock.
var origin = time.Now()

// Clock tells the time. The zero value reads the machine's monotonic clock.
type Clock struct {
	// Manual, if not nil, is the clock that a test moves by hand.
	Manual *Manual
}

// Now returns the present instant.
func (c Clock) Now() Millis {
	if c.Manual != nil {
		return c.Manual.Now()
	}
	return Of(time.Since(origin))
}

// AfterFunc calls f in its own goroutine once d has passed. The returned
// function cancels the call and reports whether it did so in time.
func (c Clock) AfterFunc(d Millis, f func()) (stop func() bool) {
	if c.Manual != nil {
		return c.Manual.afterFunc(d, f)
	}
	return time.AfterFunc(d.Std(), f).Stop
}

// Sleep waits for d or until ctx ends, and then returns the context's error.
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

// Every calls f each d until ctx ends. A call that takes longer than d
// delays the next one; calls never overlap.
func (c Clock) Every(ctx context.Context, d Millis, f func(context.Context)) {
	for c.Sleep(ctx, d) == nil {
		f(ctx)
	}
}
