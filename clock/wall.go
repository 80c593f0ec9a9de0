package clock

import (
	"sync"
	"time"
)

// Wall returns the Unix time in milliseconds, for timestamps that operators
// and other instances read, such as that of a row. The wall clocks of two
// instances differ and may step, so correctness must not depend on it. With a
// manual clock, Wall returns that clock's instant.
func (c Clock) Wall() Millis {
	if c.Manual != nil {
		return c.Manual.Now()
	}
	return Millis(time.Now().UnixMilli())
}

// Anchored is a wall clock that doesn't step: it reads the wall clock once and
// adds the time elapsed on the monotonic clock. The zero value is ready to use.
type Anchored struct {
	// Read reads the wall clock; nil means [Clock.Wall].
	Read func() Millis

	once sync.Once
	// offset is the wall time at instant zero of the monotonic clock.
	offset Millis
}

// Wall returns the Unix time in milliseconds. All calls must pass the same
// clock, since the offset is computed by the first one.
func (a *Anchored) Wall(c Clock) Millis {
	a.once.Do(func() {
		read := a.Read
		if read == nil {
			read = c.Wall
		}
		a.offset = read() - c.Now()
	})
	return c.Now() + a.offset
}
