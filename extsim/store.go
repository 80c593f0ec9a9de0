package extsim

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Mode selects how a [Store] answers its calls.
type Mode string

// Modes of a [Store].
const (
	// Up answers normally.
	Up Mode = ""
	// Unavailable answers 503.
	Unavailable Mode = "503"
	// TooManyRequests answers 429.
	TooManyRequests Mode = "429"
	// NoResponse never answers.
	NoResponse Mode = "silent"
	// Reset resets the connection without an answer.
	Reset Mode = "reset"
	// Gone answers 410, as if it had none of the versions that are asked for.
	Gone Mode = "410"
)

// EraHeader is the header of all answers that rises by one when the store was restored from
// an older copy.
const EraHeader = "Store-Era"

// Store simulates the platform's metadata store in memory.
type Store struct {
	Addr string

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each change or mode switch
	mode      Mode
	rows      map[string]storedRow // current rows by table and key, separated by a zero byte
	history   []storedRow          // all changes, oldest first
	compacted int64                // feeds can't start before this revision
	revision  int64                // of the last change
	era       int64                // 1 plus the number of restores
	calls     map[string]int       // by path
	stopped   chan struct{}        // closed by Close
	server    *httptest.Server
}

// storedRow is a row of a table, or its deletion, at one revision.
type storedRow struct {
	table, key string
	value      []byte
	// raw, if not empty, is sent as the value in place of the base64 encoding.
	raw      json.RawMessage
	revision int64
	deleted  bool
}

// NewStore starts a store and stops it at the end of the test.
func NewStore(t *testing.T) *Store {
	s := StartStore()
	t.Cleanup(s.Close)
	return s
}

// StartStore starts a store. Close must be called once.
func StartStore() *Store {
	s := &Store{
		rows: make(map[string]storedRow), calls: make(map[string]int), era: 1,
		changed: make(chan struct{}), stopped: make(chan struct{}),
	}
	s.server = httptest.NewServer(s)
	s.Addr = strings.TrimPrefix(s.server.URL, "http://")
	return s
}

// Close stops the store.
func (s *Store) Close() {
	close(s.stopped)
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetMode changes how the store answers from now on.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.notifyChange()
}

// Put writes a row, as an operator or a replica would.
func (s *Store) Put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(storedRow{table: table, key: key, value: []byte(value), revision: s.revision})
}

// PutRaw writes a row whose value, encoded in JSON, is sent as it is. It need not be
// base64.
func (s *Store) PutRaw(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(storedRow{table: table, key: key, raw: json.RawMessage(value), revision: s.revision})
}

// Remove deletes a row and records the deletion in the change history.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(storedRow{table: table, key: key, revision: s.revision, deleted: true})
}

// Compact makes the change history before the current revision unavailable:
// feed requests that start earlier get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.notifyChange()
}

// Copy is the state of a [Store] at some moment.
type Copy struct {
	rows                map[string]storedRow
	history             []storedRow
	compacted, revision int64
}

// Copy returns the present state, for [Store.Restore].
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rows: maps.Clone(s.rows), history: slices.Clone(s.history), compacted: s.compacted, revision: s.revision}
}

// Restore sets the store back to a copy of itself. What was written since is gone and its
// versions are assigned again, which the era in the answers tells. Feeds and reads from a
// version after that of the copy are answered 410. It returns functions that repeat the last
// write of each row of the given tables since the copy, as operators and replicas do, if the
// row hasn't been written since the restore.
func (s *Store) Restore(c Copy, tables ...string) (again []func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := make(map[string]storedRow)
	for _, r := range s.history[min(len(c.history), len(s.history)):] {
		if slices.Contains(tables, r.table) {
			last[r.table+"\x00"+r.key] = r
		}
	}
	for _, r := range last {
		again = append(again, func() { s.repeat(r, len(c.history)) })
	}
	s.rows, s.history, s.compacted, s.revision = maps.Clone(c.rows), slices.Clone(c.history), c.compacted, c.revision
	s.era++
	s.notifyChange()
	return again
}

// repeat writes a row unless it is among the changes from the given one on.
func (s *Store) repeat(r storedRow, from int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(s.history[min(from, len(s.history)):], func(o storedRow) bool { return o.table == r.table && o.key == r.key }) {
		return
	}
	s.revision++
	r.revision = s.revision
	s.apply(r)
}

// Keys returns the keys of a table in order.
func (s *Store) Keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for _, r := range s.sortedRows(table) {
		keys = append(keys, r.key)
	}
	return keys
}

// CallCount returns the number of calls to a path.
func (s *Store) CallCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// apply updates the table and the change history and wakes waiting feeds. The
// caller holds the lock.
func (s *Store) apply(r storedRow) {
	id := r.table + "\x00" + r.key
	if r.deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
	s.notifyChange()
}

// notifyChange wakes all feed requests that wait for a change. The caller
// holds the lock.
func (s *Store) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// sortedRows returns the rows of a table in key order. The caller holds the
// lock.
func (s *Store) sortedRows(table string) []storedRow {
	var all []storedRow
	for _, r := range s.rows {
		if r.table == table {
			all = append(all, r)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].key < all[j].key })
	return all
}

// ServeHTTP implements [http.Handler] under the current mode.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	mode := s.mode
	s.calls[r.URL.Path]++
	w.Header().Set(EraHeader, strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	switch mode {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case NoResponse:
		select {
		case <-r.Context().Done():
		case <-s.stopped:
		}
		panic(http.ErrAbortHandler)
	case Reset:
		panic(http.ErrAbortHandler)
	case Gone:
		w.WriteHeader(http.StatusGone)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /rows-get":
		s.serveGet(w, r)
	case "GET /rows-feed":
		s.serveFeed(w, r)
	case "POST /rows-tx":
		s.serveTransaction(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// maxPageRows bounds the rows of one page. The platform's limit is 500; a
// smaller one lets tests cover paging with few rows.
const maxPageRows = 20

// serveGet returns one page of a table, starting at the key in the parameter
// from.
func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	var rows []storedRow
	more := false
	for _, row := range s.sortedRows(q.Get("table")) {
		if row.key < q.Get("from") {
			continue
		}
		if len(rows) == maxPageRows {
			more = true
			break
		}
		rows = append(rows, row)
	}
	s.writeRows(w, rows, more)
}

// serveFeed is a long poll: it returns the changes of a table after the revision
// in the parameter after, and waits up to wait_ms milliseconds for the first one.
func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed := s.changed
		w.Header().Set(EraHeader, strconv.FormatInt(s.era, 10))
		if after < s.compacted || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []storedRow
		for _, row := range s.history {
			if row.table == q.Get("table") && row.revision > after {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 {
			s.writeRows(w, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			s.mu.Lock()
			s.writeRows(w, nil, false)
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		case <-s.stopped:
			return
		}
	}
}

// serveTransaction applies puts and removals under one new revision. It
// requires the precondition field but doesn't evaluate it.
func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Precondition []map[string]any `json:"precondition"`
		Puts         []map[string]any `json:"puts"`
		Remove       []map[string]any `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.Precondition == nil || in.Puts == nil || in.Remove == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, p := range in.Puts {
		value, err := base64.StdEncoding.DecodeString(p["value"].(string))
		if err != nil || p["part"] != "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.apply(storedRow{table: p["table"].(string), key: p["key"].(string), value: value, revision: s.revision})
	}
	for _, p := range in.Remove {
		s.apply(storedRow{table: p["table"].(string), key: p["key"].(string), revision: s.revision, deleted: true})
	}
	s.writeRows(w, nil, false)
}

// writeRows writes rows as the response. more reports that another page follows.
// The caller holds the lock.
func (s *Store) writeRows(w http.ResponseWriter, rows []storedRow, more bool) {
	list := []map[string]any{}
	for _, r := range rows {
		row := map[string]any{"table": r.table, "part": "", "key": r.key, "schema_version": r.revision}
		switch {
		case r.deleted:
			row["deleted"] = true
		case len(r.raw) > 0:
			row["value"] = r.raw
		default:
			row["value"] = base64.StdEncoding.EncodeToString(r.value)
		}
		list = append(list, row)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(EraHeader, strconv.FormatInt(s.era, 10))
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": list, "has_more": more, "schema_version": s.revision, "now_ms": time.Now().UnixMilli(),
	})
}
