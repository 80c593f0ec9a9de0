package kvmem

import (
	"container/heap"
	"context"
	"sync"
)

// Memory counts pieces of engine memory and lines up those who wait for some,
// by priority and then by arrival.
type Memory struct {
	mu      sync.Mutex
	held    int
	waiting waiters
	arrived int
}

type waiter struct {
	pieces, priority, order int
	ready                   chan struct{}
	granted                 bool
}

type waiters []*waiter

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].order < w[j].order
}
func (w waiters) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push and Pop implement heap.Interface.
func (w *waiters) Push(x any) { *w = append(*w, x.(*waiter)) }
func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	*w = old[:len(old)-1]
	return last
}

// Used returns the pieces that are held.
func (m *Memory) Used() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// Queued returns how many wait.
func (m *Memory) Queued() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiting)
}

// Take waits for pieces out of total.
func (m *Memory) Take(ctx context.Context, pieces, priority, total int) error {
	w := &waiter{pieces: min(pieces, total), priority: priority, ready: make(chan struct{})}
	m.mu.Lock()
	m.arrived++
	w.order = m.arrived
	heap.Push(&m.waiting, w)
	m.grant(total)
	m.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		m.leave(w, total)
		return ctx.Err()
	}
}

// grant serves the head of the line while there is room.
func (m *Memory) grant(total int) {
	for len(m.waiting) > 0 && m.held+m.waiting[0].pieces <= total {
		w := heap.Pop(&m.waiting).(*waiter)
		m.held += w.pieces
		w.granted = true
		close(w.ready)
	}
}

// leave takes a waiter out of the line, or gives back what it was granted
// while it was leaving.
func (m *Memory) leave(w *waiter, total int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w.granted {
		m.held -= w.pieces
		m.grant(total)
		return
	}
	for i, other := range m.waiting {
		if other == w {
			heap.Remove(&m.waiting, i)
			break
		}
	}
	m.grant(total)
}

// Give takes pieces back.
func (m *Memory) Give(pieces, total int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= min(pieces, total)
	m.grant(total)
}
