package kvmem

import (
	"container/heap"
	"context"
	"sync"
)

// Memory counts the pieces of an engine's memory and queues requests for more, by
// priority and then by arrival.
type Memory struct {
	mu      sync.Mutex
	held    int
	waiting waiters
	// arrivals is the number of calls of Acquire so far.
	arrivals int
}

// waiter is a queued call of Acquire. A lower priority value is served first; ready
// is closed when the pieces are granted.
type waiter struct {
	pieces, priority, arrival int
	ready                     chan struct{}
	granted                   bool
}

// waiters is a heap for package heap, ordered by priority and then by arrival.
type waiters []*waiter

// Len, Less and Swap implement [sort.Interface]. Lower priority values sort first.
func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].arrival < w[j].arrival
}
func (w waiters) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push and Pop implement [heap.Interface].
func (w *waiters) Push(x any) { *w = append(*w, x.(*waiter)) }
func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	*w = old[:len(old)-1]
	return last
}

// Used returns the number of pieces held.
func (m *Memory) Used() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// Queued returns the number of waiting calls of Acquire.
func (m *Memory) Queued() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiting)
}

// Acquire waits until the pieces are free, where total is the size of the memory.
// A request for more than total gets total. If ctx ends first, Acquire returns
// ctx's error and holds nothing.
func (m *Memory) Acquire(ctx context.Context, pieces, priority, total int) error {
	w := &waiter{pieces: min(pieces, total), priority: priority, ready: make(chan struct{})}
	m.mu.Lock()
	m.arrivals++
	w.arrival = m.arrivals
	heap.Push(&m.waiting, w)
	m.grantWaiting(total)
	m.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		m.removeWaiter(w, total)
		return ctx.Err()
	}
}

// grantWaiting grants the first waiters of the queue while their pieces are free.
// The caller holds the lock.
func (m *Memory) grantWaiting(total int) {
	for len(m.waiting) > 0 && m.held+m.waiting[0].pieces <= total {
		w := heap.Pop(&m.waiting).(*waiter)
		m.held += w.pieces
		w.granted = true
		close(w.ready)
	}
}

// removeWaiter removes a cancelled waiter from the queue, or releases its pieces
// if they were granted concurrently.
func (m *Memory) removeWaiter(w *waiter, total int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w.granted {
		m.held -= w.pieces
		m.grantWaiting(total)
		return
	}
	for i, other := range m.waiting {
		if other == w {
			heap.Remove(&m.waiting, i)
			break
		}
	}
	m.grantWaiting(total)
}

// Release frees pieces that Acquire granted for the same total.
func (m *Memory) Release(pieces, total int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= min(pieces, total)
	m.grantWaiting(total)
}
