package clock

import (
	"sort"
	"sync"
)

// Manual is a clock for tests. Its time changes only by [Manual.Advance]. The
// zero value starts at instant zero.
type Manual struct {
	mu     sync.Mutex
	now    Millis
	timers []*timer
}

// timer is a pending call that is due at the instant at.
type timer struct {
	at   Millis
	call func()
}

// Now returns the clock's current instant.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d and runs every timer that is due by
// then, earliest first, in the caller's goroutine.
func (m *Manual) Advance(d Millis) {
	m.mu.Lock()
	m.now += d
	due := m.takeDue()
	m.mu.Unlock()
	for _, t := range due {
		t.call()
	}
}

// Pending returns the number of pending timers. Tests poll it until the code
// under test sleeps.
func (m *Manual) Pending() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.timers)
}

// takeDue removes the timers that are due and returns them, earliest first.
// The caller holds the lock.
func (m *Manual) takeDue() []*timer {
	sort.SliceStable(m.timers, func(i, j int) bool { return m.timers[i].at < m.timers[j].at })
	n := sort.Search(len(m.timers), func(i int) bool { return m.timers[i].at > m.now })
	due := append([]*timer(nil), m.timers[:n]...)
	m.timers = append([]*timer(nil), m.timers[n:]...)
	return due
}

// afterFunc implements [Clock.AfterFunc] for a manual clock.
func (m *Manual) afterFunc(d Millis, f func()) (stop func() bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &timer{at: m.now + d, call: f}
	m.timers = append(m.timers, t)
	return func() bool { return m.remove(t) }
}

// remove stops t and reports whether it was still pending.
func (m *Manual) remove(t *timer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, other := range m.timers {
		if other == t {
			m.timers = append(m.timers[:i], m.timers[i+1:]...)
			return true
		}
	}
	return false
}
