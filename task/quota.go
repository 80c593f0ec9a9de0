package task

import "sync"

// Quota counts tasks and the bytes of memory that they use, and rejects those
// above a limit. The zero value has no tasks.
type Quota struct {
	mu    sync.Mutex
	tasks int
	bytes int64
}

// Add counts a task and its bytes. It returns false, and counts nothing, if
// that would exceed a limit.
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

// Grow adds bytes for a task that is already counted. It returns false, and
// adds nothing, if that would exceed the limit.
func (q *Quota) Grow(bytes, maxBytes int64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.bytes+bytes > maxBytes {
		return false
	}
	q.bytes += bytes
	return true
}

// Shrink subtracts bytes that [Quota.Grow] added.
func (q *Quota) Shrink(bytes int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bytes -= bytes
}

// Remove subtracts a task and its bytes.
func (q *Quota) Remove(bytes int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tasks--
	q.bytes -= bytes
}
