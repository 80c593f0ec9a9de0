package fake

import "sync"

// maxCached bounds the blocks that an engine's prefix cache holds.
const maxCached = 4096

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 1024

// cache is an engine's prefix cache: the blocks it holds, oldest first out.
type cache struct {
	mu     sync.Mutex
	held   map[uint64]bool
	order  []uint64
	events []cacheEvent
	last   int64
}

// cacheEvent is one change of the cache, numbered so that gaps show.
type cacheEvent struct {
	Number  int64    `json:"number"`
	Added   []uint64 `json:"added,omitempty"`
	Removed []uint64 `json:"removed,omitempty"`
}

// hits returns how many of the leading blocks are cached.
func (c *cache) hits(blocks []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(blocks) && c.held[blocks[n]] {
		n++
	}
	return n
}

func (c *cache) add(blocks []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		c.held = make(map[uint64]bool)
	}
	var e cacheEvent
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

func (c *cache) publish(e cacheEvent) {
	c.last++
	e.Number = c.last
	c.events = append(c.events, e)
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// after returns the events with a higher number.
func (c *cache) after(n int64) []cacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, e := range c.events {
		if e.Number > n {
			return append([]cacheEvent(nil), c.events[i:]...)
		}
	}
	return nil
}
