package idem

import (
	"context"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/batch"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/record"
	"lacewinghook.example/lacewinghook/shard"
	"lacewinghook.example/lacewinghook/task"
)

// Table is the part of the platform's table that stores order records. A Commit
// error with Run [codes.NotRun] guarantees that nothing was or will be written.
// After any other error the writes may have been applied, or may still be.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]core.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]core.Row, error)
	Commit(ctx context.Context, writes ...core.Write) (core.CommitResult, error)
}

// Objects stores answers that are too large for a row.
type Objects interface {
	Put(ctx context.Context, key string, data []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
}

// Sender sends a call to its service, at most once. It checks the call's
// deadline right before the first byte is sent; after that, only ctx bounds the
// wait for the answer. An error with Run [codes.NotRun] guarantees that the
// service did not receive the call.
type Sender interface {
	Send(ctx context.Context, call core.Call) (core.Answer, error)
}

// Executor runs the orders that one entry receives. Table and Sender are
// required. Without Objects, large answers are stored in rows.
type Executor struct {
	Table   Table
	Objects Objects
	Sender  Sender
	Clock   clock.Clock
	Meter   *meter.Registry
	Log     *zap.Logger
	// Owner is written to each row to show operators which entry claimed it.
	Owner core.Owner
	// Retention is how long a row is kept after the order has ended; zero means
	// 7 days. A call repeated after that runs again.
	Retention clock.Millis
	// Limit bounds the in-flight orders, including those whose outcome is not
	// stored yet; zero means 4,096. LimitBytes bounds the total size of their
	// bodies and answers; zero means 64 MiB.
	Limit      int
	LimitBytes int64
	// MaxRows bounds the rows written by one transaction; zero means 64.
	MaxRows int
	// Draw returns random numbers for tokens and backoff jitter. If nil, the
	// system source is used.
	Draw func() uint64

	// flights maps order IDs to the in-flight orders. quota bounds their number
	// and bytes, tasks runs them, and unsaved counts the known outcomes that
	// are not stored yet.
	flights shard.Map[string, *flight]
	quota   task.Quota
	tasks   task.Group
	unsaved atomic.Int64
	// withdrawals maps order IDs to the withdrawals that are in progress or ended less than
	// withdrawalAge ago.
	withdrawals shard.Map[string, *withdrawal]

	// prepare sets up batch and records once, on first use.
	prepared sync.Once
	batch    batch.Batch
	records  record.Store
}

// Defaults and bounds.
const (
	defaultLimit      = 4096
	defaultLimitBytes = 64 << 20
	// defaultTimeout applies to a call without a deadline.
	defaultTimeout = 30 * clock.Second
	// maxTimeout bounds how far ahead a call's deadline may be.
	maxTimeout = 5 * clock.Minute
	// answerGrace is how long after the deadline the executor still waits for
	// the service's answer; a late answer avoids an unknown outcome that an
	// operator must settle. openGrace is how long after the deadline an open
	// row still reads as in progress.
	answerGrace = 4 * clock.Second
	openGrace   = 5 * clock.Second
	// saveTimeout bounds how long a caller waits for its outcome to be stored.
	saveTimeout = clock.Second
	// rejectMargin leaves time to return a rejection that is made at the
	// deadline.
	rejectMargin = 200 * clock.Millis(1)
	// retryAfter is the retry hint returned while an order is in progress or
	// could not be claimed.
	retryAfter = 500 * clock.Millis(1)
	// withdrawalAge is how long the revision of an abandoned row is kept for the next
	// attempt.
	withdrawalAge = 10 * clock.Second
)

// flight is one in-flight order of this entry. Concurrent calls with the same
// key share it.
type flight struct {
	call   core.Call
	record record.Record
	// revision is the row's revision after a successful claim.
	revision int64
	// maySend is set before the deadline is checked for the last time and the call is
	// sent.
	maySend atomic.Bool
	// bytes is the flight's share of LimitBytes.
	bytes int64
	// outcomeKnown is closed when the outcome is known. done is closed once the
	// outcome is stored or saveTimeout has passed; answer and err are valid
	// from then on.
	outcomeKnown chan struct{}
	answer       core.Answer
	err          error
	done         chan struct{}
}

// Do runs the call, or returns the outcome of an earlier run with the same key.
// The call continues after ctx ends: its outcome is stored for a caller that
// repeats the call.
func (ex *Executor) Do(ctx context.Context, call core.Call) (core.Answer, error) {
	if call.IdempotencyKey == "" {
		return core.Answer{}, ex.countError(codes.New(codes.KeyMissing, "order"))
	}
	call.Deadline = ex.clampDeadline(call.Deadline)
	f, started, err := ex.joinOrStart(call)
	if err != nil {
		return core.Answer{}, ex.countError(err)
	}
	if !started && f.outcomeUnknown() {
		return core.Answer{}, ex.countError(codes.New(codes.OutcomeUnknown, "order"))
	}
	if started && !ex.tasks.Go(func() { ex.execute(f) }) {
		ex.remove(f)
		f.finish(core.Answer{}, codes.New(codes.Leaving, "order"))
	}
	return ex.await(ctx, call, f)
}

// clampDeadline returns the deadline that applies to a call: at most maxTimeout
// ahead, so that no caller waits for the platform without bound.
func (ex *Executor) clampDeadline(requested clock.Millis) clock.Millis {
	now := ex.Clock.Now()
	if requested == 0 {
		return now + defaultTimeout
	}
	return min(requested, now+maxTimeout)
}

// joinOrStart returns the flight for the call's key. If started is true, the
// flight is new and the caller must execute it.
func (ex *Executor) joinOrStart(call core.Call) (f *flight, started bool, err error) {
	candidate := &flight{call: call, record: ex.newRecord(call), bytes: int64(len(call.Body)), outcomeKnown: make(chan struct{}), done: make(chan struct{})}
	ex.flights.Update(candidate.record.ID, func(old *flight, ok bool) (*flight, bool) {
		switch {
		case ok:
			f = old
		case ex.quota.Add(candidate.bytes, ex.limit(), ex.limitBytes()):
			f, started = candidate, true
		}
		return f, f != nil
	})
	switch {
	case f == nil:
		return nil, false, codes.New(codes.QueueFull, "in-flight orders").WithRetryAfter(retryAfter)
	case f.record.Digest != candidate.record.Digest:
		return nil, false, codes.New(codes.KeyReused, "header Idempotency-Key")
	}
	return f, started, nil
}

// newRecord returns the open record that claims the call's key.
func (ex *Executor) newRecord(call core.Call) record.Record {
	now := ex.Clock.Wall()
	return record.Record{
		ID: record.OrderID(call), Workspace: call.Workspace, Service: call.Service, Key: call.IdempotencyKey,
		Digest: record.RequestDigest(call), Method: call.Method, Path: call.Path,
		State: record.Open, Token: ex.newToken(), Owner: ex.Owner,
		Opened: now, Until: now + call.Deadline - ex.Clock.Now() + openGrace,
	}
}

// await waits for the flight's outcome until the call's own deadline, which may
// be earlier than that of the flight.
func (ex *Executor) await(ctx context.Context, call core.Call, f *flight) (core.Answer, error) {
	expired := make(chan struct{})
	stop := ex.Clock.AfterFunc(call.Deadline-ex.Clock.Now()+rejectMargin, func() { close(expired) })
	defer stop()
	select {
	case <-f.done:
		return f.answer, ex.countError(f.err)
	case <-ctx.Done():
		return core.Answer{}, ex.countError(codes.Wrap(codes.CallerGone, ctx.Err(), "order"))
	case <-expired:
	}
	select {
	case <-f.outcomeKnown:
		// The outcome is stored within saveTimeout (1 s).
		<-f.done
		return f.answer, ex.countError(f.err)
	default:
	}
	if !f.maySend.Load() && ex.Clock.Now() >= f.call.Deadline {
		// It never will be: dispatch checks the same deadline.
		return core.Answer{}, ex.countError(codes.New(codes.ClaimUnsure, "order").WithRetryAfter(retryAfter))
	}
	return core.Answer{}, ex.countError(codes.New(codes.InProgress, "order").WithRetryAfter(retryAfter))
}

// finish sets the outcome and wakes all callers that wait for it.
func (f *flight) finish(a core.Answer, err error) {
	f.answer, f.err = a, err
	close(f.done)
}

// outcomeUnknown reports whether the flight has ended with an unknown outcome.
// Its record may not be confirmed yet, so later calls at this entry are answered
// from the flight, with the same error as other entries return from the record.
func (f *flight) outcomeUnknown() bool {
	select {
	case <-f.done:
		return f.err != nil && codes.From(f.err).Run == codes.Unknown
	default:
		return false
	}
}

// remove drops the flight, so that the next call with its key starts a new one.
func (ex *Executor) remove(f *flight) {
	ex.flights.Update(f.record.ID, func(old *flight, ok bool) (*flight, bool) {
		return old, ok && old != f
	})
	ex.quota.Remove(f.bytes)
}

// execute claims the row of a flight, sends the call and stores the outcome. If
// another attempt holds the row, the answer comes from its record.
func (ex *Executor) execute(f *flight) {
	ctx, cancel := ex.contextUntil(ex.tasks.Context(), f.call.Deadline)
	defer cancel()
	found, err := ex.claim(ctx, f)
	switch {
	case err != nil:
		ex.remove(f)
		f.finish(core.Answer{}, err)
	case found != nil:
		a, err := ex.answerFromRecord(ctx, f, found)
		ex.remove(f)
		f.finish(a, err)
	default:
		ex.dispatch(f)
	}
}

// dispatch sends the call of a flight that holds its row.
func (ex *Executor) dispatch(f *flight) {
	ctx, cancel := ex.contextUntil(ex.tasks.Context(), f.call.Deadline+answerGrace)
	defer cancel()
	f.maySend.Store(true)
	if ex.Clock.Now() >= f.call.Deadline {
		ex.conclude(f, record.Abandoned, core.Answer{}, codes.New(codes.DeadlinePast, "order"))
		return
	}
	a, err := ex.Sender.Send(ctx, f.call)
	if err == nil {
		ex.conclude(f, record.Done, a, nil)
		return
	}
	e := codes.From(err)
	if e.Run == codes.NotRun {
		ex.conclude(f, record.Abandoned, core.Answer{}, e)
		return
	}
	ex.conclude(f, record.Unknown, core.Answer{}, e.WithRun(codes.Unknown))
}

// countError counts an error that is returned to the caller.
func (ex *Executor) countError(err error) error {
	if err == nil {
		return nil
	}
	e := codes.From(err)
	ex.Meter.Add("orders_total", 1, "outcome", e.Code.String(), "run", string(e.Run))
	return e
}
