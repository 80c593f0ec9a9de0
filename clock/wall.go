package clock

import "time"

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
