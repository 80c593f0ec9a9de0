package batch

import (
	"bytes"
	"context"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
)

// Table is the part of the platform's table that a batch needs. An error of
// Commit with Run [codes.NotRun] is proof that nothing was or will be
// written; after any other error the writes may have landed or may still.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]core.Row, error)
	Commit(ctx context.Context, writes ...core.Write) (core.Committed, error)
}

// Bounds of one transaction.
const (
	maxRows  = 64
	maxBytes = 1 << 20
)

// Pauses between two transactions while the platform fails.
const (
	firstPause = 20 * clock.Millis(1)
	lastPause  = 1 * clock.Second
)

// Batch gathers writes. Table is needed. There is never more than one
// transaction under way.
type Batch struct {
	Table Table
	Clock clock.Clock
	Meter *meter.Set
	// Rows bounds the rows that one transaction writes; zero is 64.
	Rows int
	// Draw returns random numbers for the pauses; nil draws them from the
	// system.
	Draw func() uint64
	// Spawn starts a thread that commits, and Context is what it runs under;
	// nil is a plain one without an end. The thread ends when nothing waits.
	Spawn   func(f func()) bool
	Context func() context.Context

	mu      sync.Mutex
	queue   []*item
	running bool
}

// item is one write that waits for its outcome.
type item struct {
	write core.Write
	// done gets the outcome; it has room for it, so that nobody need listen.
	done chan Outcome
}

// Outcome is what came of one write: it landed at a revision, another row
// stands in its place, or Err says that neither is known. An Err with Run
// [codes.NotRun] is proof that the write did not and will not land.
type Outcome struct {
	Revision int64
	// Row has the revision zero if there is none where one was expected.
	Row *core.Row
	Err error
}

// Write hands in a write and waits for its outcome or the end of ctx. The
// write's value must differ from that of any other write of the row: a row
// with the same value is taken for the write itself.
func (b *Batch) Write(ctx context.Context, w core.Write) Outcome {
	it := &item{write: w, done: make(chan Outcome, 1)}
	if b.add(it) {
		b.spawn()
	}
	select {
	case out := <-it.done:
		return out
	case <-ctx.Done():
	}
	err := codes.Wrap(codes.PlatformDown, context.Cause(ctx), "platform: the write waited too long")
	if !b.leave(it) {
		err = err.WithRun(codes.Unknown)
	}
	return Outcome{Err: err}
}

// spawn starts the thread that commits. If none can be started, what waits
// fails without having been sent.
func (b *Batch) spawn() {
	if b.Spawn == nil {
		go b.commitAll()
		return
	}
	if b.Spawn(b.commitAll) {
		return
	}
	for items := b.take(); len(items) > 0; items = b.take() {
		for _, it := range items {
			it.done <- Outcome{Err: codes.New(codes.Leaving, "platform: no more writes")}
		}
	}
}

func (b *Batch) context() context.Context {
	if b.Context == nil {
		return context.Background()
	}
	return b.Context()
}

// add queues it and reports whether the caller must start a thread that
// commits.
func (b *Batch) add(it *item) (start bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, it)
	start = !b.running
	b.running = true
	return start
}

// leave takes it out of the queue and reports whether it still was there.
func (b *Batch) leave(it *item) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.queue {
		if other == it {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return true
		}
	}
	return false
}

// take returns the writes of the next transaction, and none when the queue is
// empty. Two writes of one row go in different transactions.
func (b *Batch) take() []*item {
	rows := b.rows()
	b.mu.Lock()
	defer b.mu.Unlock()
	var taken, rest []*item
	seen := make(map[string]bool)
	size := 0
	for _, it := range b.queue {
		size += len(it.write.Value)
		full := len(taken) > 0 && (len(taken) >= rows || size > maxBytes)
		if full || seen[it.write.Key] {
			rest = append(rest, it)
			continue
		}
		seen[it.write.Key] = true
		taken = append(taken, it)
	}
	b.queue = rest
	b.running = len(taken) > 0
	return taken
}

// commitAll commits until nothing is queued. While the platform fails it
// pauses longer and longer between two transactions, however many writes are
// queued: an entry is a small burden to a platform that is down or comes back.
func (b *Batch) commitAll() {
	failures := 0
	for {
		items := b.take()
		if len(items) == 0 {
			return
		}
		failed := false
		for len(items) > 0 && !failed {
			items, failed = b.commit(items)
		}
		if !failed {
			failures = 0
			continue
		}
		// Once the context has ended there is no pause: the writes that are
		// left fail at once.
		_ = b.Clock.Pause(b.context(), clock.Backoff{First: firstPause, Last: lastPause, Draw: b.Draw}, failures)
		failures++
	}
}

func (b *Batch) rows() int {
	if b.Rows == 0 {
		return maxRows
	}
	return b.Rows
}

// commit makes one transaction of items, tells the outcomes that are known,
// and returns the items that are to be tried again without those, and whether
// the platform failed.
func (b *Batch) commit(items []*item) (again []*item, failed bool) {
	writes := make([]core.Write, len(items))
	for i, it := range items {
		writes[i] = it.write
	}
	b.Meter.Add("batch_commits_total", 1)
	b.Meter.Add("batch_rows_total", len(writes))
	done, err := b.Table.Commit(b.context(), writes...)
	if err != nil {
		b.Meter.Add("batch_failures_total", 1, "run", string(codes.From(err).Run))
		b.unsure(items, err)
		return nil, true
	}
	if done.OK() && len(done.Revisions) == len(items) {
		for i, it := range items {
			it.done <- Outcome{Revision: done.Revisions[i]}
		}
		return nil, false
	}
	again = conflicts(items, done.Conflicts)
	if len(again) == len(items) {
		b.unsure(items, codes.New(codes.Internal, "platform: an answer without revisions"))
		return nil, true
	}
	b.Meter.Retried(meter.Refused)
	return again, false
}

// conflicts tells the items whose rows stand otherwise and returns the rest.
func conflicts(items []*item, rows []core.Row) (rest []*item) {
	for _, it := range items {
		row, ok := find(rows, it.write.Key)
		if !ok {
			rest = append(rest, it)
			continue
		}
		it.done <- compare(it.write, row)
	}
	return rest
}

// unsure reads back what a transaction without an answer may have written.
func (b *Batch) unsure(items []*item, err error) {
	var rows []core.Row
	readErr := err
	if codes.From(err).Run != codes.NotRun {
		keys := make([]string, len(items))
		for i, it := range items {
			keys[i] = it.write.Key
		}
		rows, readErr = b.Table.Read(b.context(), keys...)
	}
	for _, it := range items {
		row, ok := find(rows, it.write.Key)
		if readErr != nil || !ok && it.write.Expect == 0 || ok && row.Revision == it.write.Expect {
			it.done <- Outcome{Err: err}
			continue
		}
		it.done <- compare(it.write, row)
	}
}

// compare returns the outcome of w where row stands in its place. Each write
// holds a random token, so that an equal value is the write itself.
func compare(w core.Write, row core.Row) Outcome {
	if row.Revision != 0 && !w.Delete && bytes.Equal(row.Value, w.Value) {
		return Outcome{Revision: row.Revision}
	}
	return Outcome{Row: &row}
}

func find(rows []core.Row, key string) (core.Row, bool) {
	for _, r := range rows {
		if r.Key == key {
			return r, true
		}
	}
	return core.Row{}, false
}
