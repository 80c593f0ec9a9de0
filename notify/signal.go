package notify

import (
	"context"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
)

// Signal wakes one thread that waits. Signals that come while none waits are
// kept as one. The zero value is ready; it must not be copied after use.
type Signal struct {
	once sync.Once
	c    chan struct{}
}

// C returns the channel that gets a value with each signal.
func (s *Signal) C() chan struct{} {
	s.once.Do(func() { s.c = make(chan struct{}, 1) })
	return s.c
}

// Send signals. It never blocks.
func (s *Signal) Send() {
	select {
	case s.C() <- struct{}{}:
	default:
	}
}

// Wait returns true with a signal, and false after d or when ctx ends.
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

// Latest is the highest version of something that a peer was heard to have,
// with a signal whenever one is heard. The zero value is ready.
type Latest struct {
	Signal

	mu      sync.Mutex
	version int64
	peer    string
}

// Put takes over that the peer has the version, and signals.
func (n *Latest) Put(version int64, peer string) {
	n.mu.Lock()
	if version > n.version {
		n.version, n.peer = version, peer
	}
	n.mu.Unlock()
	n.Send()
}

// Get returns the highest version heard, and who has it.
func (n *Latest) Get() (version int64, peer string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, n.peer
}
