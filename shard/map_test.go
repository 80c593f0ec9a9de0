package shard_test

import (
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/shard"
)

// TestConcurrentUpdatesAreNotLost guards against lost updates by concurrent writers.
func TestConcurrentUpdatesAreNotLost(t *testing.T) {
	is := is.New(t)
	const writers, rounds, keys = 8, 1000, 50
	var m shard.Map[int, int]
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for i := range rounds {
				m.Update(i%keys, func(n int, _ bool) (int, bool) { return n + 1, true })
			}
		})
	}
	wg.Wait()
	total := 0
	m.Each(func(_, n int) bool { total += n; return n%2 == 1 })
	is.Equal(total, writers*rounds)
	is.Equal(m.Len(), 0) // every count is even and was removed
}

// TestEnsureCreatesOneValue checks that concurrent callers share one new value.
func TestEnsureCreatesOneValue(t *testing.T) {
	is := is.New(t)
	const readers = 8
	var m shard.Map[string, *int]
	var made int
	got := make([]*int, readers)
	var wg sync.WaitGroup
	for i := range readers {
		wg.Go(func() {
			// Ensure calls the function under the shard's lock, which guards made.
			got[i] = m.Ensure("k", func() *int { made++; return new(int) })
		})
	}
	wg.Wait()
	is.Equal(made, 1)
	for _, p := range got {
		is.True(p == got[0])
	}
}

func TestValues(t *testing.T) {
	is := is.New(t)
	var m shard.Map[int, int]
	is.Equal(len(m.Values()), 0)
	want := make([]int, 100)
	for i := range want {
		want[i] = i
		m.Ensure(i, func() int { return i })
	}
	got := m.Values()
	slices.Sort(got)
	is.Equal(got, want)
}

func BenchmarkUpdate(b *testing.B) {
	var m shard.Map[int, int]
	b.RunParallel(func(pb *testing.PB) {
		i := 0
		for pb.Next() {
			i++
			m.Update(i%4096, func(n int, _ bool) (int, bool) { return n + 1, true })
		}
	})
}
