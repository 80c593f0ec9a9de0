package limit

import (
	"container/heap"

	"lacewinghook.example/lacewinghook/clock"
)

// waiter is a request in the queue.
type waiter struct {
	Ticket
	// result receives the outcome. Its buffer of one keeps the sender from
	// blocking.
	result chan error
	// heap is the heap that contains the request, nil if none, and index its
	// position there. subqueue is that of the request's workspace.
	index    int
	heap     *waiterHeap
	subqueue *subqueue
	// overtaken counts the requests served ahead of this one after its Try
	// found no capacity.
	overtaken int
}

// startDeadline returns the time by which the request must start to have its first
// token by Latest.
func (w *waiter) startDeadline() clock.Millis { return w.Latest - w.TimeToFirstToken }

// missesTarget reports whether the request can no longer make its target. Urgent
// requests count as on time.
func (w *waiter) missesTarget(now clock.Millis) bool {
	return !w.Urgent && w.Target-w.TimeToFirstToken < now
}

// waiterHeap is a heap of requests, urgent ones first and then by startBy, the
// time by which they have to start.
type waiterHeap struct {
	items   []*waiter
	startBy func(*waiter) clock.Millis
}

// Len and the methods below implement [heap.Interface].
func (h *waiterHeap) Len() int { return len(h.items) }
func (h *waiterHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	return h.startBy(a) < h.startBy(b)
}
func (h *waiterHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index, h.items[j].index = i, j
}
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index, w.heap = len(h.items), h
	h.items = append(h.items, w)
}
func (h *waiterHeap) Pop() any {
	last := len(h.items) - 1
	w := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	w.heap = nil
	return w
}

// peek returns the first request, or nil if the heap is empty.
func (h *waiterHeap) peek() *waiter {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// subqueue holds the waiting requests of one kind.
type subqueue struct {
	kind
	weight float64
	// served is the cost served so far, divided by weight. The workspace with
	// the smallest value has had the least of its fair share.
	served float64
	// Requests in timely can still make their targets, those in tardy can't.
	timely waiterHeap
	tardy  waiterHeap
	// timelyCost is the total cost of the requests in timely, and tardyCost that of
	// those in tardy.
	timelyCost, tardyCost int
}

// newSubqueue returns an empty subqueue. It orders timely requests by the latest
// start at which they make their targets, and tardy ones by startDeadline.
func newSubqueue(k kind) *subqueue {
	s := &subqueue{kind: k}
	s.timely.startBy = func(w *waiter) clock.Millis { return w.Target - w.TimeToFirstToken }
	s.tardy.startBy = (*waiter).startDeadline
	return s
}

// len returns the number of waiting requests.
func (s *subqueue) len() int { return s.timely.Len() + s.tardy.Len() }

// push adds a request to timely or tardy.
func (s *subqueue) push(w *waiter, now clock.Millis) {
	w.subqueue = s
	if w.missesTarget(now) {
		s.tardyCost += w.Cost
		heap.Push(&s.tardy, w)
		return
	}
	s.timelyCost += w.Cost
	heap.Push(&s.timely, w)
}

// hasUrgent reports whether a waiting request is urgent. Those count as on time.
func (s *subqueue) hasUrgent() bool {
	w := s.timely.peek()
	return w != nil && w.Urgent
}

// remove takes a request out of its heap.
func (s *subqueue) remove(w *waiter) {
	if w.heap == &s.timely {
		s.timelyCost -= w.Cost
	} else {
		s.tardyCost -= w.Cost
	}
	heap.Remove(w.heap, w.index)
}

// moveTardy moves the requests that can no longer make their targets to tardy.
func (s *subqueue) moveTardy(now clock.Millis) {
	for w := s.timely.peek(); w != nil && w.missesTarget(now); w = s.timely.peek() {
		s.remove(w)
		s.tardyCost += w.Cost
		heap.Push(&s.tardy, w)
	}
}

// evictable returns the request to evict from a full queue: the one with the
// latest Latest that is not urgent, or nil.
func (s *subqueue) evictable() *waiter {
	var found *waiter
	for _, h := range []*waiterHeap{&s.timely, &s.tardy} {
		for _, w := range h.items {
			if !w.Urgent && (found == nil || w.Latest > found.Latest) {
				found = w
			}
		}
	}
	return found
}
