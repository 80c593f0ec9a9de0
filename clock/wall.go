package clock

import (
	"sync"
	"time"
)

// Wall returns the milliseconds since 1970 by the machine's wall clock. It
// is for times that other instances or operators read, such as the age of a
// row. The wall clocks of two instances differ and may step, so that nothing
// that must hold may rest on it. A manual clock tells its own time.
func (c Clock) Wall() Millis {
	if c.Manual != nil {
		return c.Manual.Now()
	}
	return Millis(time.Now().UnixMilli())
}

// Anchored tells the time of a wall clock that was read once and goes on with
// the steady clock: it does not step. The zero value is ready.
type Anchored struct {
	// Read reads the wall clock; nil is [Clock.Wall].
	Read func() Millis

	once   sync.Once
	offset Millis
}

// Wall returns the milliseconds since 1970. All calls must be given the same
// clock.
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
