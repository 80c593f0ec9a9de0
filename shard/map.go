package shard

import (
	"hash/maphash"
	"sync"
)

// Count is the number of shards of a [Map]: a power of two well above the
// number of cores of an entry instance, so that two threads rarely contend for
// the same shard.
const Count = 64

// Map is a sharded map that is safe for concurrent use. The zero value is an
// empty map. A Map must not be copied after first use.
type Map[K comparable, V any] struct {
	once   sync.Once
	seed   maphash.Seed
	shards [Count]mapShard[K, V]
}

// mapShard holds the entries whose keys hash to one shard.
type mapShard[K comparable, V any] struct {
	mu      sync.Mutex
	entries map[K]V
	// The padding keeps the locks of two shards on different cache lines, so
	// that they don't cause false sharing.
	_ [48]byte
}

// shardFor returns the shard of the key. The hash seed is random per map.
func (m *Map[K, V]) shardFor(k K) *mapShard[K, V] {
	m.once.Do(func() { m.seed = maphash.MakeSeed() })
	return &m.shards[maphash.Comparable(m.seed, k)%Count]
}

// Get returns the value of k and whether k is present.
func (m *Map[K, V]) Get(k K) (V, bool) {
	s := m.shardFor(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.entries[k]
	return v, ok
}

// Set stores v as the value of k.
func (m *Map[K, V]) Set(k K, v V) {
	m.Update(k, func(V, bool) (V, bool) { return v, true })
}

// Delete removes k and returns its previous value and whether it was present.
func (m *Map[K, V]) Delete(k K) (V, bool) {
	var old V
	var existed bool
	m.Update(k, func(v V, ok bool) (V, bool) {
		old, existed = v, ok
		return v, false
	})
	return old, existed
}

// Update atomically replaces the value of k. It calls f under the shard's lock
// with the current value and whether k is present, and stores the value that f
// returns, or removes k if f's second result is false.
func (m *Map[K, V]) Update(k K, f func(v V, ok bool) (V, bool)) {
	s := m.shardFor(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.entries[k]
	v, keep := f(v, ok)
	if !keep {
		delete(s.entries, k)
		return
	}
	if s.entries == nil {
		s.entries = make(map[K]V)
	}
	s.entries[k] = v
}

// Ensure returns the value of k. If k is absent, it first stores the result of
// f, which runs under the shard's lock, so that concurrent callers get the same
// value.
func (m *Map[K, V]) Ensure(k K, f func() V) V {
	var got V
	m.Update(k, func(v V, ok bool) (V, bool) {
		if !ok {
			v = f()
		}
		got = v
		return v, true
	})
	return got
}

// Each calls f for every entry and removes the entries for which it returns
// false. Each shard is locked while its entries are visited, and only then, so
// that the iteration isn't a consistent snapshot of the map.
func (m *Map[K, V]) Each(f func(k K, v V) (keep bool)) {
	for i := range m.shards {
		m.shards[i].each(f)
	}
}

// each implements [Map.Each] for one shard.
func (s *mapShard[K, V]) each(f func(k K, v V) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, v := range s.entries {
		if !f(k, v) {
			delete(s.entries, k)
		}
	}
}

// Values returns all values in no particular order. Unlike the function passed
// to [Map.Each], code that uses the result may block, take locks and call the
// same map.
func (m *Map[K, V]) Values() []V {
	var all []V
	m.Each(func(_ K, v V) bool {
		all = append(all, v)
		return true
	})
	return all
}

// Len returns the number of entries. With concurrent writers the result is
// approximate.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		n += len(s.entries)
		s.mu.Unlock()
	}
	return n
}
