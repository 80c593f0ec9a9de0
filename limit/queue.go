package limit

import (
	"container/heap"

	"lacewinghook.example/lacewinghook/clock"
)

// waiter is a request in the line.
type waiter struct {
	Ticket
	// ready takes the outcome; it has room for it.
	ready chan error
	// index is the place in its heap, and heap that heap; nil is none.
	index int
	heap  *waiters
	space *space
	// passed counts the requests that were served while this one was tried
	// and found no room.
	passed int
}

// hopeless is the instant from which the request can't make its latest one.
func (w *waiter) hopeless() clock.Millis { return w.Latest - w.Need }

// late reports whether the request can't make its target any more.
func (w *waiter) late(now clock.Millis) bool { return !w.Urgent && w.Target-w.Need < now }

// waiters is a heap, urgent ones first and then by the instant that they
// have to begin by.
type waiters struct {
	list  []*waiter
	until func(*waiter) clock.Millis
}

// Len and the methods below implement heap.Interface.
func (q *waiters) Len() int { return len(q.list) }
func (q *waiters) Less(i, j int) bool {
	a, b := q.list[i], q.list[j]
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	return q.until(a) < q.until(b)
}
func (q *waiters) Swap(i, j int) {
	q.list[i], q.list[j] = q.list[j], q.list[i]
	q.list[i].index, q.list[j].index = i, j
}
func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index, w.heap = len(q.list), q
	q.list = append(q.list, w)
}
func (q *waiters) Pop() any {
	last := len(q.list) - 1
	w := q.list[last]
	q.list[last] = nil
	q.list = q.list[:last]
	w.heap = nil
	return w
}

func (q *waiters) head() *waiter {
	if len(q.list) == 0 {
		return nil
	}
	return q.list[0]
}

// space is the requests of one workspace.
type space struct {
	name   string
	weight float64
	// served is the cost that was served, by weight. The workspace with the
	// least is furthest behind its share.
	served float64
	// timely can still make their targets, tardy can't.
	timely waiters
	tardy  waiters
	// cost is that of the timely ones.
	cost int
}

func newSpace(name string) *space {
	s := &space{name: name}
	s.timely.until = func(w *waiter) clock.Millis { return w.Target - w.Need }
	s.tardy.until = (*waiter).hopeless
	return s
}

func (s *space) len() int { return s.timely.Len() + s.tardy.Len() }

func (s *space) push(w *waiter, now clock.Millis) {
	w.space = s
	if w.late(now) {
		heap.Push(&s.tardy, w)
		return
	}
	s.cost += w.Cost
	heap.Push(&s.timely, w)
}

func (s *space) remove(w *waiter) {
	if w.heap == &s.timely {
		s.cost -= w.Cost
	}
	heap.Remove(w.heap, w.index)
}

// age moves those that have become late.
func (s *space) age(now clock.Millis) {
	for w := s.timely.head(); w != nil && w.late(now); w = s.timely.head() {
		s.remove(w)
		heap.Push(&s.tardy, w)
	}
}

// last returns the request that can wait longest, the first to give way
// where the line is full.
func (s *space) last() *waiter {
	var found *waiter
	for _, q := range []*waiters{&s.timely, &s.tardy} {
		for _, w := range q.list {
			if !w.Urgent && (found == nil || w.Latest > found.Latest) {
				found = w
			}
		}
	}
	return found
}
