package task

import "sync"

// Quota bounds the number of tasks and the bytes that they hold. The zero
// value holds nothing.
type Quota struct {
	mu    sync.Mutex
	tasks int
	bytes int64
}

// Add counts a task and its bytes, unless that would pass a bound.
func (q *Quota) Add(bytes int64, maxTasks int, maxBytes int64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.tasks >= maxTasks || q.bytes+bytes > maxBytes {
		return false
	}
	q.tasks++
	q.bytes += bytes
	return true
}

// Grow adds bytes to those of a task that is counted already, unless that
// would pass the bound.
func (q *Quota) Grow(bytes, maxBytes int64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.bytes+bytes > maxBytes {
		return false
	}
	q.bytes += bytes
	return true
}

// Shrink takes bytes back that were grown.
func (q *Quota) Shrink(bytes int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bytes -= bytes
}

// Remove takes a task and its bytes back.
func (q *Quota) Remove(bytes int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tasks--
	q.bytes -= bytes
}
