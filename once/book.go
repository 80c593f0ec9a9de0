package once

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

// Table is the part of the platform's table that orders need. An error of
// Commit with Run [codes.NotRun] is proof that nothing was or will be
// written; after any other error the writes may have landed or may still.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]core.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]core.Row, error)
	Commit(ctx context.Context, writes ...core.Write) (core.Committed, error)
}

// Objects keeps answers that are too large for a row.
type Objects interface {
	Put(ctx context.Context, key string, data []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
}

// Sender sends a call to its service, at most once. It looks at the call's
// deadline right before the first byte leaves; after that, ctx alone bounds
// the wait for the answer. An error with Run [codes.NotRun] is proof that the
// service didn't get the call.
type Sender interface {
	Send(ctx context.Context, call core.Call) (core.Answer, error)
}

// Book makes the orders of one entry. Table and Sender are needed; without
// Objects, large answers are kept in rows.
type Book struct {
	Table   Table
	Objects Objects
	Sender  Sender
	Clock   clock.Clock
	Meter   *meter.Set
	Log     *zap.Logger
	// Owner is written to each row, for operators.
	Owner core.Owner
	// Retention is how long a row is kept after its end; zero is 7 days. A
	// caller that asks again later than that is served as a new one.
	Retention clock.Millis
	// Limit bounds the orders under way, those included whose outcome is not
	// yet kept; zero is 4,096. LimitBytes bounds their bodies and answers;
	// zero is 64 MiB.
	Limit      int
	LimitBytes int64
	// Rows bounds the rows that one transaction writes; zero is 64.
	Rows int
	// Draw returns random numbers for tokens and pauses; nil draws them from
	// the system.
	Draw func() uint64

	flights shard.Map[string, *flight]
	quota   task.Quota
	tasks   task.Group
	unkept  atomic.Int64

	// batch and ledger are connected by prepare.
	once   sync.Once
	batch  batch.Batch
	ledger record.Ledger
}

// Defaults and bounds.
const (
	defaultLimit      = 4096
	defaultLimitBytes = 64 << 20
	// defaultTimeout is for a call without a deadline.
	defaultTimeout = 30 * clock.Second
	// maxTimeout bounds a call's deadline.
	maxTimeout = 5 * clock.Minute
	// answerGrace is how long after its deadline an order still waits for
	// the service's answer: a late answer spares an operator an unknown
	// outcome. openGrace is how long an open row reads as being under way.
	answerGrace = 4 * clock.Second
	openGrace   = 5 * clock.Second
	// saveWait is how long a caller waits for its answer to be kept.
	saveWait = clock.Second
	// refuseMargin is for a refusal that is made at the deadline.
	refuseMargin = 200 * clock.Millis(1)
	// askAgain is the hint to a caller whose order is under way.
	askAgain = 500 * clock.Millis(1)
)

// flight is one order under way at this entry.
type flight struct {
	call   core.Call
	record record.Record
	// revision is that of the row, once it is held.
	revision int64
	// bytes counts against the book's limit.
	bytes int64
	// known is closed when the outcome is known, and done once it is kept or
	// has waited long enough for it. Then answer and err are the outcome.
	known  chan struct{}
	answer core.Answer
	err    error
	done   chan struct{}
}

// Do makes the call, or returns what came of it if it was made before. The
// call goes on when ctx ends: its outcome is kept for a caller that asks
// again.
func (b *Book) Do(ctx context.Context, call core.Call) (core.Answer, error) {
	if call.Key == "" {
		return core.Answer{}, b.refused(codes.New(codes.KeyMissing, "order"))
	}
	call.Deadline = b.deadline(call.Deadline)
	f, mine, err := b.join(call)
	if err != nil {
		return core.Answer{}, b.refused(err)
	}
	if !mine && f.unknown() {
		return core.Answer{}, b.refused(codes.New(codes.OutcomeUnknown, "order"))
	}
	if mine && !b.tasks.Go(func() { b.run(f) }) {
		b.end(f)
		f.finish(core.Answer{}, codes.New(codes.Leaving, "order"))
	}
	return b.await(ctx, call, f)
}

// deadline bounds how far off a call's deadline may be, so that nobody waits
// for the platform without an end.
func (b *Book) deadline(asked clock.Millis) clock.Millis {
	now := b.Clock.Now()
	if asked == 0 {
		return now + defaultTimeout
	}
	return min(asked, now+maxTimeout)
}

// join returns the flight of the call's key, and whether it is a new one that
// the caller must run.
func (b *Book) join(call core.Call) (f *flight, mine bool, err error) {
	fresh := &flight{call: call, record: b.record(call), bytes: int64(len(call.Body)), known: make(chan struct{}), done: make(chan struct{})}
	b.flights.Update(fresh.record.ID, func(old *flight, ok bool) (*flight, bool) {
		switch {
		case ok:
			f = old
		case b.quota.Add(fresh.bytes, b.limit(), b.limitBytes()):
			f, mine = fresh, true
		}
		return f, f != nil
	})
	switch {
	case f == nil:
		return nil, false, codes.New(codes.QueueFull, "orders under way").WithRetry(askAgain)
	case f.record.Digest != fresh.record.Digest:
		return nil, false, codes.New(codes.KeyReused, "header Idempotency-Key")
	}
	return f, mine, nil
}

func (b *Book) record(call core.Call) record.Record {
	now := b.Clock.Wall()
	return record.Record{
		ID: record.Identity(call), Workspace: call.Workspace, Service: call.Service, Key: call.Key,
		Digest: record.Content(call), Method: call.Method, Path: call.Path,
		State: record.Open, Token: b.token(), Owner: b.Owner,
		Opened: now, Until: now + call.Deadline - b.Clock.Now() + openGrace,
	}
}

// await waits for the flight's outcome, as far as the caller's own deadline
// allows.
func (b *Book) await(ctx context.Context, call core.Call, f *flight) (core.Answer, error) {
	late := make(chan struct{})
	stop := b.Clock.AfterFunc(call.Deadline-b.Clock.Now()+refuseMargin, func() { close(late) })
	defer stop()
	select {
	case <-f.done:
		return f.answer, b.refused(f.err)
	case <-ctx.Done():
		return core.Answer{}, b.refused(codes.Wrap(codes.CallerGone, ctx.Err(), "order"))
	case <-late:
	}
	select {
	case <-f.known:
		// The outcome is about to be kept, within a second at most.
		<-f.done
		return f.answer, b.refused(f.err)
	default:
		return core.Answer{}, b.refused(codes.New(codes.InProgress, "order").WithRetry(askAgain))
	}
}

// finish tells all who wait for the flight.
func (f *flight) finish(a core.Answer, err error) {
	f.answer, f.err = a, err
	close(f.done)
}

// unknown reports whether the flight's callers were told that its outcome is
// unknown. Its record may not be confirmed yet; a later call is answered as
// the record says, as at every other entry.
func (f *flight) unknown() bool {
	select {
	case <-f.done:
		return f.err != nil && codes.From(f.err).Run == codes.Unknown
	default:
		return false
	}
}

// end forgets the flight, so that the next call of its key begins anew.
func (b *Book) end(f *flight) {
	b.flights.Update(f.record.ID, func(old *flight, ok bool) (*flight, bool) {
		return old, ok && old != f
	})
	b.quota.Remove(f.bytes)
}

// run takes a flight from its claim to its kept outcome.
func (b *Book) run(f *flight) {
	ctx, cancel := b.until(b.tasks.Context(), f.call.Deadline)
	defer cancel()
	found, err := b.claim(ctx, f)
	switch {
	case err != nil:
		b.end(f)
		f.finish(core.Answer{}, err)
	case found != nil:
		a, err := b.known(ctx, f, found)
		b.end(f)
		f.finish(a, err)
	default:
		b.dispatch(f)
	}
}

// dispatch sends the call of a flight that holds its row.
func (b *Book) dispatch(f *flight) {
	ctx, cancel := b.until(b.tasks.Context(), f.call.Deadline+answerGrace)
	defer cancel()
	if b.Clock.Now() >= f.call.Deadline {
		b.conclude(f, record.Abandoned, core.Answer{}, codes.New(codes.DeadlinePast, "order"))
		return
	}
	a, err := b.Sender.Send(ctx, f.call)
	if err == nil {
		b.conclude(f, record.Done, a, nil)
		return
	}
	e := codes.From(err)
	if e.Run == codes.NotRun {
		b.conclude(f, record.Abandoned, core.Answer{}, e)
		return
	}
	b.conclude(f, record.Unknown, core.Answer{}, e.WithRun(codes.Unknown))
}

// refused counts an error on its way to the caller and returns it as one.
func (b *Book) refused(err error) error {
	if err == nil {
		return nil
	}
	e := codes.From(err)
	b.Meter.Add("orders_total", 1, "outcome", e.Code.String(), "run", string(e.Run))
	return e
}
