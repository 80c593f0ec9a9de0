package kvmem

import "sync"

// maxCachedBlocks limits the blocks in an engine's prefix cache.
const maxCachedBlocks = 4096

// maxEvents limits the cache events that are kept for readers.
const maxEvents = 1024

// Cache is an engine's prefix cache. When it is full, it evicts the blocks that
// were added first.
type Cache struct {
	mu     sync.Mutex
	cached map[uint64]bool
	// order lists the cached blocks, those added first in front.
	order  []uint64
	events []Event
	// lastNumber is the number of the newest event.
	lastNumber int64
}

// Event is a change of the cache. Events are numbered consecutively, so that a
// reader detects missed ones.
type Event struct {
	Number int64 `json:"number"`
	// Added and Removed are the hashes of blocks.
	Added   []uint64 `json:"added,omitempty"`
	Removed []uint64 `json:"removed,omitempty"`
}

// Hits returns the number of blocks before the first one that isn't cached.
func (c *Cache) Hits(blocks []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(blocks) && c.cached[blocks[n]] {
		n++
	}
	return n
}

// Add caches the blocks, evicts the oldest ones beyond maxCachedBlocks, and
// publishes the change.
func (c *Cache) Add(blocks []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cached == nil {
		c.cached = make(map[uint64]bool)
	}
	var e Event
	for _, b := range blocks {
		if !c.cached[b] {
			c.cached[b] = true
			c.order = append(c.order, b)
			e.Added = append(e.Added, b)
		}
	}
	for len(c.order) > maxCachedBlocks {
		e.Removed = append(e.Removed, c.order[0])
		delete(c.cached, c.order[0])
		c.order = c.order[1:]
	}
	if len(e.Added)+len(e.Removed) > 0 {
		c.publish(e)
	}
}

// publish numbers and stores an event. The caller holds the lock.
func (c *Cache) publish(e Event) {
	c.lastNumber++
	e.Number = c.lastNumber
	c.events = append(c.events, e)
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// EventsAfter returns the stored events with a number above n.
func (c *Cache) EventsAfter(n int64) []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, e := range c.events {
		if e.Number > n {
			return append([]Event(nil), c.events[i:]...)
		}
	}
	return nil
}
