package kvmem

import "sync"

// maxCached bounds the blocks that an engine's prefix cache holds.
const maxCached = 4096

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 1024

// Cache is an engine's prefix cache: the blocks it holds, oldest first out.
type Cache struct {
	mu     sync.Mutex
	held   map[uint64]bool
	order  []uint64
	events []Event
	last   int64
}

// Event is one change of the cache, numbered so that gaps show.
type Event struct {
	Number int64 `json:"number"`
	// Added and Removed are hashes of blocks.
	Added   []uint64 `json:"added,omitempty"`
	Removed []uint64 `json:"removed,omitempty"`
}

// Hits returns how many of the leading blocks are cached.
func (c *Cache) Hits(blocks []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(blocks) && c.held[blocks[n]] {
		n++
	}
	return n
}

// Add holds the blocks too, and drops the oldest beyond the bound.
func (c *Cache) Add(blocks []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		c.held = make(map[uint64]bool)
	}
	var e Event
	for _, b := range blocks {
		if !c.held[b] {
			c.held[b] = true
			c.order = append(c.order, b)
			e.Added = append(e.Added, b)
		}
	}
	for len(c.order) > maxCached {
		e.Removed = append(e.Removed, c.order[0])
		delete(c.held, c.order[0])
		c.order = c.order[1:]
	}
	if len(e.Added)+len(e.Removed) > 0 {
		c.publish(e)
	}
}

func (c *Cache) publish(e Event) {
	c.last++
	e.Number = c.last
	c.events = append(c.events, e)
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// After returns the events with a higher number.
func (c *Cache) After(n int64) []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, e := range c.events {
		if e.Number > n {
			return append([]Event(nil), c.events[i:]...)
		}
	}
	return nil
}
