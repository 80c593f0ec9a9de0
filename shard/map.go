package shard

import (
	"hash/maphash"
	"sync"
)

// Count is the number of shards of a [Map]. It is a power of two well above
// the cores of an entry instance, so that two threads seldom share a shard.
const Count = 64

// Map is a map from K to V in shards. The zero value is empty and ready.
// It must not be copied after its first use.
type Map[K comparable, V any] struct {
	once   sync.Once
	seed   maphash.Seed
	shards [Count]part[K, V]
}

type part[K comparable, V any] struct {
	mu sync.Mutex
	m  map[K]V
	// The padding keeps the locks of two shards on different cache lines.
	_ [48]byte
}

func (m *Map[K, V]) part(k K) *part[K, V] {
	m.once.Do(func() { m.seed = maphash.MakeSeed() })
	return &m.shards[maphash.Comparable(m.seed, k)%Count]
}

// Get returns the value under k and whether there is one.
func (m *Map[K, V]) Get(k K) (V, bool) {
	p := m.part(k)
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.m[k]
	return v, ok
}

// Set puts v under k.
func (m *Map[K, V]) Set(k K, v V) {
	m.Update(k, func(V, bool) (V, bool) { return v, true })
}

// Delete removes k and returns what stood there.
func (m *Map[K, V]) Delete(k K) (V, bool) {
	var old V
	var had bool
	m.Update(k, func(v V, ok bool) (V, bool) {
		old, had = v, ok
		return v, false
	})
	return old, had
}

// Update calls f under the shard's lock with the value under k, and whether
// there is one, and keeps what f returns; if f's second result is false, k is
// removed.
func (m *Map[K, V]) Update(k K, f func(v V, ok bool) (V, bool)) {
	p := m.part(k)
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.m[k]
	v, keep := f(v, ok)
	if !keep {
		delete(p.m, k)
		return
	}
	if p.m == nil {
		p.m = make(map[K]V)
	}
	p.m[k] = v
}

// Ensure returns the value under k. Where there is none, it puts what f
// returns, which is called under the shard's lock.
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

// Each calls f for every entry, one shard at a time under its lock, and
// removes those for which f returns false.
func (m *Map[K, V]) Each(f func(k K, v V) (keep bool)) {
	for i := range m.shards {
		m.shards[i].each(f)
	}
}

func (p *part[K, V]) each(f func(k K, v V) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, v := range p.m {
		if !f(k, v) {
			delete(p.m, k)
		}
	}
}

// Values returns all values, in no order. What needs locks of its own may be
// done with them, which [Map.Each] does not allow.
func (m *Map[K, V]) Values() []V {
	var all []V
	m.Each(func(_ K, v V) bool {
		all = append(all, v)
		return true
	})
	return all
}

// Len returns the number of entries. With writers about it is a moment's
// reading.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		p := &m.shards[i]
		p.mu.Lock()
		n += len(p.m)
		p.mu.Unlock()
	}
	return n
}
