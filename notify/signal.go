package notify

import (
	"context"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
)

// Signal wakes one waiting goroutine. Signals sent while none waits are merged
// into one, which the next wait receives at once. The zero value is ready to
// use. A Signal must not be copied after first use.
type Signal struct {
	once sync.Once
	c    chan struct{}
}

// C returns the channel that receives a value for each signal, for use in a
// select statement.
func (s *Signal) C() chan struct{} {
	s.once.Do(func() { s.c = make(chan struct{}, 1) })
	return s.c
}

// Send wakes the waiting goroutine, or the next one that waits. It never blocks.
func (s *Signal) Send() {
	select {
	case s.C() <- struct{}{}:
	default:
	}
}

// Wait waits for a signal and returns true. It returns false if d elapses or
// ctx ends first.
func (s *Signal) Wait(ctx context.Context, c clock.Clock, d clock.Millis) bool {
	due := make(chan struct{})
	stop := c.AfterFunc(d, func() { close(due) })
	defer stop()
	select {
	case <-s.C():
		return true
	case <-due:
	case <-ctx.Done():
	}
	return false
}

// HighestVersion holds the highest version that any peer has reported, and signals
// on every report. The zero value is ready to use.
type HighestVersion struct {
	Signal

	mu      sync.Mutex
	version int64
	peer    string
}

// Report records that the peer has the version, and signals even if a higher
// version is already known.
func (h *HighestVersion) Report(version int64, peer string) {
	h.mu.Lock()
	if version > h.version {
		h.version, h.peer = version, peer
	}
	h.mu.Unlock()
	h.Send()
}

// Get returns the highest reported version and the peer that reported it first.
func (h *HighestVersion) Get() (version int64, peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, h.peer
}
