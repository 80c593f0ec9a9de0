package pool

import "lacewinghook.example/lacewinghook/clock"

// Limits of the hints about one upstream's prefix cache.
const (
	// maxHints bounds the number of blocks; the oldest are evicted first.
	maxHints = 4096
	// hintTTL is how long a block counts as cached after its last use.
	hintTTL = 60 * clock.Second
	// gapHintTTL replaces hintTTL after a gap in the event numbers, which may
	// hide removals.
	gapHintTTL = 10 * clock.Second
)

// CacheEvent is a numbered change of an engine's prefix cache.
type CacheEvent struct {
	Upstream string
	Number   int64
	Added    []uint64
	Removed  []uint64
}

// cacheHints records the blocks that an upstream's prefix cache may hold. The
// sources are the prompts that this entry sent there and the cache events of
// the engine, which may arrive late.
type cacheHints struct {
	lastUsed map[uint64]clock.Millis
	// order lists the blocks, oldest first. It may contain blocks that were
	// already removed from lastUsed.
	order []uint64
	// last is the number of the newest event applied, 0 before the first one.
	last int64
}

// hits returns how many blocks of a prompt, counted from its start, are probably
// cached.
func (h *cacheHints) hits(blocks []uint64, now clock.Millis) int {
	for i, b := range blocks {
		at, ok := h.lastUsed[b]
		if !ok || now-at > hintTTL {
			return i
		}
	}
	return len(blocks)
}

// add records a use of the blocks at now.
func (h *cacheHints) add(blocks []uint64, now clock.Millis) {
	if h.lastUsed == nil {
		h.lastUsed = make(map[uint64]clock.Millis)
	}
	for _, b := range blocks {
		if _, ok := h.lastUsed[b]; !ok {
			h.order = append(h.order, b)
		}
		h.lastUsed[b] = now
	}
	for len(h.order) > maxHints {
		delete(h.lastUsed, h.order[0])
		h.order = h.order[1:]
	}
}

// apply applies a cache event. An event that isn't newer than the last one is
// ignored. A gap in the numbers may hide removals, so after one the hints not
// used within gapHintTTL are dropped.
func (h *cacheHints) apply(e CacheEvent, now clock.Millis) {
	switch {
	case e.Number <= h.last && h.last != 0:
		return
	case h.last != 0 && e.Number != h.last+1:
		h.dropOlder(now - gapHintTTL)
	}
	h.last = e.Number
	h.add(e.Added, now)
	for _, b := range e.Removed {
		delete(h.lastUsed, b)
	}
	h.compact()
}

// dropOlder removes the blocks last used before instant.
func (h *cacheHints) dropOlder(instant clock.Millis) {
	for b, at := range h.lastUsed {
		if at < instant {
			delete(h.lastUsed, b)
		}
	}
}

// compact removes deleted blocks from order. This bounds its length and keeps
// a block that is added again from being listed twice.
func (h *cacheHints) compact() {
	if len(h.order) == len(h.lastUsed) {
		return
	}
	kept := h.order[:0]
	for _, b := range h.order {
		if _, ok := h.lastUsed[b]; ok {
			kept = append(kept, b)
		}
	}
	h.order = kept
}
