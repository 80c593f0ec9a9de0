package taint_test

import (
	"context"
	"maps"
	"sync"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/taint"
)

// memoryStore implements [taint.Store] and counts its calls.
type memoryStore struct {
	mu    sync.Mutex
	rows  map[uint64]taint.Suspect
	saves int
	// deletes counts the deletes of each row.
	deletes map[uint64]int
}

// Tainted implements [taint.Store].
func (s *memoryStore) Tainted(context.Context) ([]taint.Suspect, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []taint.Suspect
	for _, row := range s.rows {
		all = append(all, row)
	}
	return all, nil
}

// SaveTainted implements [taint.Store].
func (s *memoryStore) SaveTainted(_ context.Context, row taint.Suspect) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saves++
	s.rows[row.Part] = row
	return nil
}

// DeleteTainted implements [taint.Store].
func (s *memoryStore) DeleteTainted(_ context.Context, part uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deletes == nil {
		s.deletes = make(map[uint64]int)
	}
	s.deletes[part]++
	delete(s.rows, part)
	return nil
}

// counts returns the number of rows, of saves and of deletes of the row of a part.
func (s *memoryStore) counts(part uint64) (rows, saves, deletes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows), s.saves, s.deletes[part]
}

// awaitRows waits until the store has n rows.
func (s *memoryStore) awaitRows(t *testing.T, n int) {
	t.Helper()
	for range 2000 {
		if rows, _, _ := s.counts(bad); rows == n {
			return
		}
		_ = clock.Clock{}.Sleep(t.Context(), 1)
	}
	rows, _, _ := s.counts(bad)
	is.New(t).Equal(rows, n)
}

// run runs all entries with a store until the test ends.
func (f *fleet) run(t *testing.T, store taint.Store) {
	var running sync.WaitGroup
	// The context of the test ends before its cleanup.
	t.Cleanup(running.Wait)
	for _, e := range f.entries {
		e.Store = store
		running.Go(func() { e.Run(t.Context()) })
	}
}

// TestFewEntriesTellTheStore guards against as many calls of the store as there are entries,
// when a part is quarantined and when it is cleared, and against rows that stay there for good.
func TestFewEntriesTellTheStore(t *testing.T) {
	is := is.New(t)
	f := newFleet(9)
	store := &memoryStore{rows: map[uint64]taint.Suspect{style: {Part: style, Crashes: []taint.Crash{{Upstream: "g", Entry: "gone", Round: 3, Age: 2 * 60 * clock.Minute}}}}}
	f.run(t, store)
	store.awaitRows(t, 0) // the expired row
	for i := range 3 {
		f.crash(i, uint64(i), bad)
		f.tell()
	}
	store.awaitRows(t, 1)
	is.True(f.rejects(8, bad))
	f.entries[5].Clear([]uint64{bad})
	f.tell()
	store.awaitRows(t, 0)
	_, saves, deletes := store.counts(bad)
	is.True(saves <= 2)
	is.True(deletes <= 2)
}

// TestRestoredStoreIsToldAgain guards against a quarantine that a store which was restored
// from an older copy lacks, so that it is lost when all entries restart, against one that is
// lifted because its row is gone, and against a row that comes back after its quarantine was
// lifted. Each is written again by the entry that wrote it.
func TestRestoredStoreIsToldAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	store := &memoryStore{rows: map[uint64]taint.Suspect{}}
	f.run(t, store)
	restore := func(rows map[uint64]taint.Suspect) {
		store.mu.Lock()
		store.rows = maps.Clone(rows)
		store.mu.Unlock()
		for _, e := range f.entries {
			e.SaveAgain()
		}
	}
	for i := range 3 {
		f.crash(i, uint64(i), bad)
		f.tell()
	}
	store.awaitRows(t, 1)
	_, before, _ := store.counts(bad)
	restore(map[uint64]taint.Suspect{})
	store.awaitRows(t, 1)
	_, saves, _ := store.counts(bad)
	is.True(saves-before <= 2) // by the entry of the last crash, and that of the one before
	for i := range f.entries {
		is.True(f.rejects(i, bad))
	}
	store.mu.Lock()
	old := maps.Clone(store.rows)
	store.mu.Unlock()
	f.entries[4].Clear([]uint64{bad})
	f.tell()
	store.awaitRows(t, 0)
	restore(old)
	store.awaitRows(t, 0)
}
