package pltsim

import (
	"errors"
	"sort"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"lacewinghook.example/lacewinghook/core"
)

// Limits of the table. maxListRows is also the default page size.
const (
	maxRowBytes          = 1 << 20
	maxTransactionWrites = 256
	maxListRows          = 1000
	tableShards          = 16
	maxKeyBytes          = 512
)

// Reasons to reject a transaction.
var (
	errTooManyWrites = errors.New("pltsim: too many writes in one transaction")
	errInvalidKey    = errors.New("pltsim: key is empty, too long or repeated")
	errValueTooLarge = errors.New("pltsim: value too large")
)

// Table is an in-memory table with multi-row transactions. The zero value is
// empty and ready to use.
type Table struct {
	shards [tableShards]tableShard
}

// tableShard holds the rows of one shard by key, and the last revision assigned
// in it.
type tableShard struct {
	mu           sync.Mutex
	rows         map[string]core.Row
	lastRevision int64
}

// shardOf returns the index of the shard that holds key.
func shardOf(key string) int {
	return int(xxhash.Sum64String(key) % tableShards)
}

// Read returns the rows of the given keys and omits missing ones.
func (t *Table) Read(keys []string) []core.Row {
	var found []core.Row
	for _, k := range keys {
		s := &t.shards[shardOf(k)]
		s.mu.Lock()
		if row, ok := s.rows[k]; ok {
			found = append(found, row)
		}
		s.mu.Unlock()
	}
	return found
}

// List returns up to limit rows whose keys have the prefix and sort after the
// key after, in key order.
func (t *Table) List(prefix, after string, limit int) []core.Row {
	if limit <= 0 || limit > maxListRows {
		limit = maxListRows
	}
	var found []core.Row
	for i := range t.shards {
		found = t.shards[i].list(found, prefix, after)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found[:min(limit, len(found))]
}

// list appends the shard's matching rows to found, unsorted.
func (s *tableShard) list(found []core.Row, prefix, after string) []core.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, row := range s.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			found = append(found, row)
		}
	}
	return found
}

// Commit applies all writes, or none if the revision of any row differs from the
// one that its write expects. In that case Conflicts holds the current versions
// of these rows. The revision of a missing row is 0.
func (t *Table) Commit(writes []core.Write) (core.CommitResult, error) {
	if err := validateWrites(writes); err != nil {
		return core.CommitResult{}, err
	}
	unlock := t.lockShards(writes)
	defer unlock()
	var result core.CommitResult
	for _, w := range writes {
		row := t.shards[shardOf(w.Key)].rows[w.Key]
		if row.Revision != w.Expect {
			row.Key = w.Key
			result.Conflicts = append(result.Conflicts, row)
		}
	}
	if !result.OK() {
		return result, nil
	}
	for _, w := range writes {
		result.Revisions = append(result.Revisions, t.shards[shardOf(w.Key)].put(w))
	}
	return result, nil
}

// validateWrites checks the size limits and that no key is empty or repeated.
func validateWrites(writes []core.Write) error {
	if len(writes) > maxTransactionWrites {
		return errTooManyWrites
	}
	seen := make(map[string]bool, len(writes))
	for _, w := range writes {
		if w.Key == "" || len(w.Key) > maxKeyBytes || seen[w.Key] {
			return errInvalidKey
		}
		if len(w.Value) > maxRowBytes {
			return errValueTooLarge
		}
		seen[w.Key] = true
	}
	return nil
}

// lockShards locks all shards that writes touch, in index order, so that
// concurrent transactions can't deadlock.
func (t *Table) lockShards(writes []core.Write) (unlock func()) {
	var touched [tableShards]bool
	for _, w := range writes {
		touched[shardOf(w.Key)] = true
	}
	for i, locked := range touched {
		if locked {
			t.shards[i].mu.Lock()
		}
	}
	return func() {
		for i, locked := range touched {
			if locked {
				t.shards[i].mu.Unlock()
			}
		}
	}
}

// put writes or deletes one row and returns the new revision. The caller holds
// the shard's lock. Revisions increase per shard rather than per row, so that a
// row that is deleted and created again never gets a revision that it had before.
func (s *tableShard) put(w core.Write) int64 {
	s.lastRevision++
	if w.Delete {
		delete(s.rows, w.Key)
		return s.lastRevision
	}
	if s.rows == nil {
		s.rows = make(map[string]core.Row)
	}
	s.rows[w.Key] = core.Row{Key: w.Key, Value: append([]byte(nil), w.Value...), Revision: s.lastRevision}
	return s.lastRevision
}
