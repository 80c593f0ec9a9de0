package idem

import (
	"context"

	"lacewinghook.example/lacewinghook/record"
)

// withdrawal is the end of an attempt that could not confirm its claim in time. The next
// attempt of this executor waits for it: its own claim would only conflict with the row.
type withdrawal struct {
	// done is closed when the attempt's row, if there is one, is abandoned; revision, zero
	// if it is not known, is valid from then on.
	done     chan struct{}
	revision int64
	digest   string // of the attempt's request
}

// awaitWithdrawal waits until the last attempt of the order has been withdrawn, and returns
// the revision of its abandoned row. It returns zero if there is none or if it is not known,
// and an error if ctx ends first.
func (ex *Executor) awaitWithdrawal(ctx context.Context, f *flight) (revision int64, err error) {
	w, ok := ex.withdrawals.Get(f.record.ID)
	if !ok {
		return 0, nil
	}
	select {
	case <-w.done:
		if w.digest != f.record.Digest {
			return 0, nil // the claim compares the requests
		}
		return w.revision, nil
	case <-ctx.Done():
		return 0, context.Cause(ctx)
	}
}

// startWithdrawal withdraws a flight's claim in the background, if it is needed. The function
// waits until that is known, and returns the row's revision, zero if it is not known.
func (ex *Executor) startWithdrawal(f *flight, needed func() (needed bool, revision int64)) {
	w := &withdrawal{done: make(chan struct{}), digest: f.record.Digest}
	ex.withdrawals.Set(f.record.ID, w)
	if !ex.tasks.Go(func() {
		if ok, revision := needed(); ok {
			w.revision = ex.withdraw(f, revision)
		}
		ex.endWithdrawal(f.record.ID, w)
	}) {
		ex.endWithdrawal(f.record.ID, w)
	}
}

// endWithdrawal lets the next attempt begin, and forgets the withdrawal after a while.
func (ex *Executor) endWithdrawal(id string, w *withdrawal) {
	close(w.done)
	ex.Clock.AfterFunc(withdrawalAge, func() {
		ex.withdrawals.Update(id, func(old *withdrawal, ok bool) (*withdrawal, bool) { return old, ok && old != w })
	})
}

// withdraw writes an abandoned row in place of the flight's claim, so that an
// insert still in flight fails. The flight must not send its call after that. The
// row is first expected at the given revision; zero means that there is none. It
// returns the revision of the abandoned row, or zero if another attempt holds it.
func (ex *Executor) withdraw(f *flight, expect int64) (revision int64) {
	abandoned := f.record
	abandoned.State, abandoned.Ended = record.Abandoned, ex.Clock.Wall()
	abandoned.Note = "the claim could not be confirmed"
	for n := 0; ; n++ {
		out := ex.write(ex.tasks.Context(), &abandoned, expect)
		if out.Revision != 0 {
			ex.Meter.Add("orders_withdrawn_total", 1)
			return out.Revision
		}
		if out.Row != nil {
			found, err := record.Decode(*out.Row)
			if out.Row.Revision != 0 && (err != nil || !replaceable(found, f.record.Token)) {
				return 0
			}
			expect = out.Row.Revision
		}
		if ex.backoff(ex.tasks.Context(), n) != nil {
			return 0
		}
	}
}

// replaceable reports whether a withdrawal may overwrite the row: it is the
// attempt's own claim, or an abandoned row that the attempt's pending insert
// may still replace.
func replaceable(r *record.Record, token string) bool {
	return r.State == record.Abandoned || r.State == record.Open && r.Token == token
}
