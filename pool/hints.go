package pool

import "lacewinghook.example/lacewinghook/clock"

// Bounds of the hints on one upstream's prefix cache. Each block is held for
// at most hintLife after it was last used, and no more than maxHints.
const (
	maxHints = 4096
	hintLife = 60 * clock.Second
	gapLife  = 10 * clock.Second
)

// CacheEvent is a numbered change of an engine's prefix cache.
type CacheEvent struct {
	Upstream string
	Number   int64
	Added    []uint64
	Removed  []uint64
}

// hints are the blocks that an upstream's prefix cache may hold, from what
// this entry sent there and from late events.
type hints struct {
	used map[uint64]clock.Millis
	// order holds the blocks oldest first; a block may stand in it that was
	// dropped from used.
	order []uint64
	last  int64
}

// hits returns how many of the leading blocks may be cached.
func (h *hints) hits(blocks []uint64, now clock.Millis) int {
	for i, b := range blocks {
		at, ok := h.used[b]
		if !ok || now-at > hintLife {
			return i
		}
	}
	return len(blocks)
}

// add says that the blocks were used at now.
func (h *hints) add(blocks []uint64, now clock.Millis) {
	if h.used == nil {
		h.used = make(map[uint64]clock.Millis)
	}
	for _, b := range blocks {
		if _, ok := h.used[b]; !ok {
			h.order = append(h.order, b)
		}
		h.used[b] = now
	}
	for len(h.order) > maxHints {
		delete(h.used, h.order[0])
		h.order = h.order[1:]
	}
}

// event takes in a change that the engine published. A gap in the numbers
// may hide removals: hints that were not used lately are then dropped.
func (h *hints) event(e CacheEvent, now clock.Millis) {
	switch {
	case e.Number <= h.last && h.last != 0:
		return
	case h.last != 0 && e.Number != h.last+1:
		h.dropOlder(now - gapLife)
	}
	h.last = e.Number
	h.add(e.Added, now)
	for _, b := range e.Removed {
		delete(h.used, b)
	}
	h.compact()
}

func (h *hints) dropOlder(instant clock.Millis) {
	for b, at := range h.used {
		if at < instant {
			delete(h.used, b)
		}
	}
}

// compact drops from the order what is no longer used, so that it stays
// bounded and a block that comes back has one place.
func (h *hints) compact() {
	if len(h.order) == len(h.used) {
		return
	}
	kept := h.order[:0]
	for _, b := range h.order {
		if _, ok := h.used[b]; ok {
			kept = append(kept, b)
		}
	}
	h.order = kept
}
