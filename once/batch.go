package once

import (
	"bytes"
	"context"
	"sync"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
)

// Bounds of one transaction.
const (
	maxBatchRows  = 64
	maxBatchBytes = 1 << 20
)

// batch gathers the writes that arrive while a transaction is under way and
// commits them together in the next one. There is never more than one
// transaction under way, so that many waiting orders are no burden to a
// platform that comes back.
type batch struct {
	mu      sync.Mutex
	queue   []*item
	running bool
}

// item is one write that waits for its outcome.
type item struct {
	write core.Write
	// done gets the outcome; it has room for it, so that nobody need listen.
	done chan outcome
}

// outcome is what came of one write: it landed at a revision, another row
// stands in its place, or err says that neither is known. An err with Run
// [codes.NotRun] is proof that the write did not and will not land.
type outcome struct {
	revision int64
	row      *core.Row
	err      error
}

// write hands in a write and waits for its outcome or the end of ctx.
func (b *Book) write(ctx context.Context, w core.Write) outcome {
	it := &item{write: w, done: make(chan outcome, 1)}
	if b.batch.add(it) {
		b.spawn(b.commitAll)
	}
	select {
	case out := <-it.done:
		return out
	case <-ctx.Done():
	}
	err := codes.Wrap(codes.PlatformDown, context.Cause(ctx), "platform: the write waited too long")
	if !b.batch.leave(it) {
		err = err.WithRun(codes.Unknown)
	}
	return outcome{err: err}
}

// add queues it and reports whether the caller must start a thread that
// commits.
func (q *batch) add(it *item) (start bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue = append(q.queue, it)
	start = !q.running
	q.running = true
	return start
}

// leave takes it out of the queue and reports whether it still was there.
func (q *batch) leave(it *item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.queue {
		if other == it {
			q.queue = append(q.queue[:i], q.queue[i+1:]...)
			return true
		}
	}
	return false
}

// take returns the writes of the next transaction, and none when the queue is
// empty. Two writes of one row go in different transactions.
func (q *batch) take(maxRows int) []*item {
	q.mu.Lock()
	defer q.mu.Unlock()
	var taken, rest []*item
	seen := make(map[string]bool)
	size := 0
	for _, it := range q.queue {
		size += len(it.write.Value)
		full := len(taken) > 0 && (len(taken) >= maxRows || size > maxBatchBytes)
		if full || seen[it.write.Key] {
			rest = append(rest, it)
			continue
		}
		seen[it.write.Key] = true
		taken = append(taken, it)
	}
	q.queue = rest
	q.running = len(taken) > 0
	return taken
}

// commitAll commits until nothing is queued. While the platform fails it
// pauses longer and longer between two transactions, however many writes are
// queued: an entry is a small burden to a platform that is down or comes back.
func (b *Book) commitAll() {
	failures := 0
	for {
		items := b.batch.take(b.rows())
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
		// A book that is given up doesn't pause: its writes fail at once.
		_ = b.pause(b.context(), failures)
		failures++
	}
}

func (b *Book) rows() int {
	if b.Rows == 0 {
		return maxBatchRows
	}
	return b.Rows
}

// commit makes one transaction of items, tells the outcomes that are known,
// and returns the items that are to be tried again without those, and whether
// the platform failed.
func (b *Book) commit(items []*item) (again []*item, failed bool) {
	writes := make([]core.Write, len(items))
	for i, it := range items {
		writes[i] = it.write
	}
	b.Meter.Add("once_commits_total", 1)
	b.Meter.Add("once_rows_total", len(writes))
	done, err := b.Table.Commit(b.context(), writes...)
	if err != nil {
		b.Meter.Add("once_commit_failures_total", 1, "run", string(codes.From(err).Run))
		b.unsure(items, err)
		return nil, true
	}
	if done.OK() && len(done.Revisions) == len(items) {
		for i, it := range items {
			it.done <- outcome{revision: done.Revisions[i]}
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
func (b *Book) unsure(items []*item, err error) {
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
			it.done <- outcome{err: err}
			continue
		}
		it.done <- compare(it.write, row)
	}
}

// compare returns the outcome of w where row stands in its place. Each write
// holds a random token, so that an equal value is the write itself.
func compare(w core.Write, row core.Row) outcome {
	if row.Revision != 0 && !w.Delete && bytes.Equal(row.Value, w.Value) {
		return outcome{revision: row.Revision}
	}
	return outcome{row: &row}
}

func find(rows []core.Row, key string) (core.Row, bool) {
	for _, r := range rows {
		if r.Key == key {
			return r, true
		}
	}
	return core.Row{}, false
}
