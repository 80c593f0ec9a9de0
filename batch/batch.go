package batch

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
)

// Table is the part of the platform's table that a batch needs. An error of
// Commit with Run [codes.NotRun] guarantees that nothing was or will be written.
// After any other error the writes may have been applied or may still be.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]core.Row, error)
	Commit(ctx context.Context, writes ...core.Write) (core.CommitResult, error)
}

// Limits of one transaction.
const (
	maxTransactionRows  = 64
	maxTransactionBytes = 1 << 20
)

// Delays between two transactions while the platform fails.
const (
	minBackoff = 20 * clock.Millis(1)
	maxBackoff = 1 * clock.Second
)

// Batch queues writes and commits them in transactions, one at a time. Table is
// required.
type Batch struct {
	Table Table
	Clock clock.Clock
	Meter *meter.Registry
	// MaxRows limits the rows of a transaction; zero means 64.
	MaxRows int
	// Draw returns random numbers for the backoff's jitter; nil means crypto/rand.
	Draw func() uint64
	// Go starts a goroutine that commits until the queue is empty, and returns false
	// during a shutdown; nil means a go statement. Context returns the context for
	// it; nil means the background context.
	Go      func(f func()) bool
	Context func() context.Context

	mu sync.Mutex
	// queue holds the writes of Write, and claims those of WriteClaim.
	queue, claims []*item
	// running is set while a goroutine commits.
	running bool
}

// item is a write that is queued or being committed.
type item struct {
	write core.Write
	// done receives the outcome. It has a buffer of one, so that the committing
	// goroutine doesn't block if the caller has stopped waiting.
	done chan Outcome
}

// Outcome is the result of a write: the revision at which it was committed, the
// conflicting row, or an error. An Err with Run [codes.NotRun] guarantees that the
// write was not and will not be applied; any other Err leaves that open.
type Outcome struct {
	Revision int64
	// Row is the conflicting row. Its revision is zero if an expected row doesn't
	// exist.
	Row *core.Row
	Err error
	// Late receives the outcome of a write that was being committed when its context
	// ended; nil otherwise.
	Late <-chan Outcome
}

// Write queues a write and waits for its outcome or the end of ctx. The value must
// differ from that of every other write of the row, since a row with an equal
// value is taken as proof that this write was committed.
func (b *Batch) Write(ctx context.Context, w core.Write) Outcome {
	return b.write(ctx, &b.queue, w)
}

// WriteClaim is [Batch.Write] for a write that begins work. It follows all writes of Write,
// so that under overload work that has begun ends before other work begins.
func (b *Batch) WriteClaim(ctx context.Context, w core.Write) Outcome {
	return b.write(ctx, &b.claims, w)
}

// write adds a write to one of the queues and waits for its outcome or the end of ctx.
func (b *Batch) write(ctx context.Context, queue *[]*item, w core.Write) Outcome {
	it := &item{write: w, done: make(chan Outcome, 1)}
	if b.enqueue(queue, it) {
		b.startCommitter()
	}
	select {
	case out := <-it.done:
		return out
	case <-ctx.Done():
	}
	err := codes.Wrap(codes.PlatformDown, context.Cause(ctx), "platform: timed out waiting for the write")
	if !b.dequeue(queue, it) {
		return Outcome{Err: err.WithRun(codes.Unknown), Late: it.done}
	}
	return Outcome{Err: err}
}

// startCommitter starts the committing goroutine. If b.Go returns false, during a
// shutdown, all queued writes fail without having been sent.
func (b *Batch) startCommitter() {
	if b.Go == nil {
		go b.commitAll()
		return
	}
	if b.Go(b.commitAll) {
		return
	}
	for items := b.nextTransaction(); len(items) > 0; items = b.nextTransaction() {
		for _, it := range items {
			it.done <- Outcome{Err: codes.New(codes.Leaving, "platform: write rejected during shutdown")}
		}
	}
}

// context returns the context for transactions.
func (b *Batch) context() context.Context {
	if b.Context == nil {
		return context.Background()
	}
	return b.Context()
}

// enqueue adds the item to a queue and reports whether the caller must start a committing
// goroutine.
func (b *Batch) enqueue(queue *[]*item, it *item) (start bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	*queue = append(*queue, it)
	start = !b.running
	b.running = true
	return start
}

// dequeue removes the item from its queue and reports whether it was still queued, that is,
// not yet part of a transaction.
func (b *Batch) dequeue(queue *[]*item, it *item) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(*queue, it)
	if i >= 0 {
		*queue = slices.Delete(*queue, i, i+1)
	}
	return i >= 0
}

// nextTransaction removes the writes of the next transaction from the queues and returns
// them, or none if both are empty.
func (b *Batch) nextTransaction() []*item {
	b.mu.Lock()
	defer b.mu.Unlock()
	tx := transaction{maxRows: b.maxRows(), keys: make(map[string]bool)}
	b.queue = slices.DeleteFunc(b.queue, tx.add)
	b.claims = slices.DeleteFunc(b.claims, tx.add)
	b.running = len(tx.items) > 0
	return tx.items
}

// transaction collects the writes of one transaction.
type transaction struct {
	items         []*item
	maxRows, size int
	keys          map[string]bool
}

// add adds a write and reports whether it fits. Two writes of the same row never fit into
// one transaction, and only a single large write exceeds maxTransactionBytes.
func (tx *transaction) add(it *item) bool {
	size := tx.size + len(it.write.Value)
	full := len(tx.items) > 0 && (len(tx.items) >= tx.maxRows || size > maxTransactionBytes)
	if full || tx.keys[it.write.Key] {
		return false
	}
	tx.size = size
	tx.keys[it.write.Key] = true
	tx.items = append(tx.items, it)
	return true
}

// commitAll commits until the queue is empty. While the platform fails, it backs
// off between transactions regardless of the queue's length, so that an entry adds
// little load to a platform that is down or recovering.
func (b *Batch) commitAll() {
	failures := 0
	for {
		items := b.nextTransaction()
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
		// Backoff returns at once if the context has ended, so that the remaining
		// writes fail without delay.
		_ = b.Clock.Backoff(b.context(), clock.Backoff{Initial: minBackoff, Max: maxBackoff, Draw: b.Draw}, failures)
		failures++
	}
}

// maxRows returns the maximum number of rows of a transaction.
func (b *Batch) maxRows() int {
	if b.MaxRows == 0 {
		return maxTransactionRows
	}
	return b.MaxRows
}

// commit runs one transaction and delivers the outcomes that are known. After a
// conflict it returns the items without a conflict, to be retried. It also returns
// whether the platform failed.
func (b *Batch) commit(items []*item) (retry []*item, failed bool) {
	writes := make([]core.Write, len(items))
	for i, it := range items {
		writes[i] = it.write
	}
	b.Meter.Add("batch_commits_total", 1)
	b.Meter.Add("batch_rows_total", len(writes))
	result, err := b.Table.Commit(b.context(), writes...)
	if err != nil {
		b.Meter.Add("batch_failures_total", 1, "run", string(codes.From(err).Run))
		b.resolveUnknown(items, err)
		return nil, true
	}
	if result.OK() && len(result.Revisions) == len(items) {
		for i, it := range items {
			it.done <- Outcome{Revision: result.Revisions[i]}
		}
		return nil, false
	}
	retry = resolveConflicts(items, result.Conflicts)
	if len(retry) == len(items) {
		b.resolveUnknown(items, codes.New(codes.Internal, "platform: commit response without revisions"))
		return nil, true
	}
	b.Meter.CountRetry(meter.Refused)
	return retry, false
}

// resolveConflicts delivers the outcomes of the items that conflict with rows and
// returns the other items.
func resolveConflicts(items []*item, rows []core.Row) (rest []*item) {
	for _, it := range items {
		row, ok := findRow(rows, it.write.Key)
		if !ok {
			rest = append(rest, it)
			continue
		}
		it.done <- compareRow(it.write, row)
	}
	return rest
}

// resolveUnknown delivers the outcomes after a transaction failed with err. Unless
// err guarantees that nothing was written, it reads the rows back: a row with
// another revision than expected decides the outcome, otherwise err remains.
func (b *Batch) resolveUnknown(items []*item, err error) {
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
		row, ok := findRow(rows, it.write.Key)
		if readErr != nil || !ok && it.write.Expect == 0 || ok && row.Revision == it.write.Expect {
			it.done <- Outcome{Err: err}
			continue
		}
		it.done <- compareRow(it.write, row)
	}
}

// compareRow returns the outcome of w from the current row. Every write contains a
// random token, so that an equal value is the write itself.
func compareRow(w core.Write, row core.Row) Outcome {
	if row.Revision != 0 && !w.Delete && bytes.Equal(row.Value, w.Value) {
		return Outcome{Revision: row.Revision}
	}
	return Outcome{Row: &row}
}

// findRow returns the row with the key.
func findRow(rows []core.Row, key string) (core.Row, bool) {
	for _, r := range rows {
		if r.Key == key {
			return r, true
		}
	}
	return core.Row{}, false
}
