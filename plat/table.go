package plat

import (
	"errors"
	"sort"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"lacewinghook.example/lacewinghook/core"
)

// Limits of one call to the table.
const (
	maxRowBytes  = 1 << 20
	maxWrites    = 256
	maxListRows  = 1000
	tableShards  = 16
	maxKeyLength = 512
)

// Errors of a [Table].
var (
	errTooMany = errors.New("plat: too many writes in one transaction")
	errKey     = errors.New("plat: a key is empty, too long or written twice")
	errSize    = errors.New("plat: a value is too large")
)

// Table is a transactional table in memory. The zero value is empty.
type Table struct {
	shards [tableShards]rows
}

type rows struct {
	mu   sync.Mutex
	m    map[string]core.Row
	last int64
}

func shardOf(key string) int {
	return int(xxhash.Sum64String(key) % tableShards)
}

// Read returns the rows that stand under keys; an absent one is left out.
func (t *Table) Read(keys []string) []core.Row {
	var found []core.Row
	for _, k := range keys {
		s := &t.shards[shardOf(k)]
		s.mu.Lock()
		if row, ok := s.m[k]; ok {
			found = append(found, row)
		}
		s.mu.Unlock()
	}
	return found
}

// List returns up to limit rows whose keys begin with prefix and come after
// the key after, in the order of their keys.
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

func (s *rows) list(found []core.Row, prefix, after string) []core.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, row := range s.m {
		if strings.HasPrefix(k, prefix) && k > after {
			found = append(found, row)
		}
	}
	return found
}

// Commit carries out all writes or none.
func (t *Table) Commit(writes []core.Write) (core.CommitResult, error) {
	if err := check(writes); err != nil {
		return core.CommitResult{}, err
	}
	unlock := t.lock(writes)
	defer unlock()
	var done core.CommitResult
	for _, w := range writes {
		row := t.shards[shardOf(w.Key)].m[w.Key]
		if row.Revision != w.Expect {
			row.Key = w.Key
			done.Conflicts = append(done.Conflicts, row)
		}
	}
	if !done.OK() {
		return done, nil
	}
	for _, w := range writes {
		done.Revisions = append(done.Revisions, t.shards[shardOf(w.Key)].put(w))
	}
	return done, nil
}

func check(writes []core.Write) error {
	if len(writes) > maxWrites {
		return errTooMany
	}
	seen := make(map[string]bool, len(writes))
	for _, w := range writes {
		if w.Key == "" || len(w.Key) > maxKeyLength || seen[w.Key] {
			return errKey
		}
		if len(w.Value) > maxRowBytes {
			return errSize
		}
		seen[w.Key] = true
	}
	return nil
}

// lock takes the locks of all shards that writes touch, in the order of the
// shards, so that two transactions never wait for each other.
func (t *Table) lock(writes []core.Write) (unlock func()) {
	var touched [tableShards]bool
	for _, w := range writes {
		touched[shardOf(w.Key)] = true
	}
	for i, yes := range touched {
		if yes {
			t.shards[i].mu.Lock()
		}
	}
	return func() {
		for i, yes := range touched {
			if yes {
				t.shards[i].mu.Unlock()
			}
		}
	}
}

// put writes one row under the shard's lock and returns its new revision.
// Revisions rise over the whole shard, so that a row that was deleted and
// written anew never shows an old revision again.
func (s *rows) put(w core.Write) int64 {
	s.last++
	if w.Delete {
		delete(s.m, w.Key)
		return s.last
	}
	if s.m == nil {
		s.m = make(map[string]core.Row)
	}
	s.m[w.Key] = core.Row{Key: w.Key, Value: append([]byte(nil), w.Value...), Revision: s.last}
	return s.last
}
