package idem

import (
	"bytes"
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/record"
)

// maxRowAnswer is the largest answer body stored in the row, in bytes. It also
// keeps a full transaction within the platform's limits.
const maxRowAnswer = 16 << 10

// storedHeaders are the answer headers that are stored and replayed.
var storedHeaders = []string{"Content-Type", "Location", "Retry-After"}

// conclude stores the flight's outcome and returns it to its callers once it is
// stored, or after saveTimeout (1 s). The write continues in the background.
func (ex *Executor) conclude(f *flight, state record.State, a core.Answer, err error) {
	close(f.outcomeKnown)
	a.Header = filterHeader(a.Header)
	final := f.record
	final.State, final.Ended = state, ex.Clock.Wall()
	if err != nil {
		final.Note = codes.From(err).Code.String()
	}
	ex.Meter.Add("order_states_total", 1, "state", string(state))
	saved := make(chan struct{})
	ex.unsaved.Add(1)
	ex.tasks.Go(func() {
		defer close(saved)
		defer ex.unsaved.Add(-1)
		ex.save(f, final, a)
	})
	timedOut := make(chan struct{})
	stop := ex.Clock.AfterFunc(saveTimeout, func() { close(timedOut) })
	defer stop()
	select {
	case <-saved:
	case <-timedOut:
		ex.Meter.Add("once_saves_late_total", 1)
	}
	if state == record.Abandoned {
		// The next call with this key starts over with a new token.
		ex.remove(f)
	}
	f.finish(a, err)
	if state != record.Abandoned {
		<-saved
		ex.remove(f)
	}
}

// filterHeader returns the headers in storedHeaders.
func filterHeader(h http.Header) http.Header {
	filtered := make(http.Header)
	for _, name := range storedHeaders {
		if v := h.Values(name); len(v) > 0 {
			filtered[name] = v
		}
	}
	return filtered
}

// save replaces the claim by the final record. It retries until the write
// succeeds or the executor is closed.
func (ex *Executor) save(f *flight, final record.Record, a core.Answer) {
	if final.State == record.Done && !ex.storeAnswer(f, &final, a) {
		return
	}
	expect := f.revision
	for n := 0; ; n++ {
		out := ex.write(ex.tasks.Context(), &final, expect)
		if out.Revision != 0 {
			return
		}
		if out.Row != nil {
			if !ex.resolveConflict(&final, *out.Row) {
				return
			}
			expect = out.Row.Revision
			continue
		}
		if ex.backoff(ex.tasks.Context(), n) != nil {
			return
		}
	}
}

// storeAnswer adds the answer to the record, or stores a large one as an
// object. It returns false if the answer cannot be stored; the row then stays
// open and reads as unknown once its time has passed.
func (ex *Executor) storeAnswer(f *flight, final *record.Record, a core.Answer) bool {
	if !ex.quota.Grow(int64(len(a.Body)), ex.limitBytes()) {
		ex.Meter.Add("once_answers_dropped_total", 1)
		ex.log().Warn("idem: dropped an answer: too many bytes wait to be stored", zap.String("order", final.ID))
		return false
	}
	defer ex.quota.Shrink(int64(len(a.Body)))
	if len(a.Body) <= maxRowAnswer || ex.Objects == nil {
		final.Answer = &a
		return true
	}
	// The token makes the object's key unique to this attempt.
	final.Object = final.RowKey() + "/" + final.Token
	data, err := json.Marshal(a)
	if err != nil {
		return false
	}
	for n := 0; ex.Objects.Put(ex.tasks.Context(), final.Object, data) != nil; n++ {
		if ex.backoff(ex.tasks.Context(), n) != nil {
			return false
		}
	}
	return true
}

// resolveConflict handles a row that changed since the flight claimed it, and
// reports whether final may overwrite it. Only an operator's Settle may have
// changed the row. Any other change violates the at-most-once guarantee: it is
// counted and the row is kept.
func (ex *Executor) resolveConflict(final *record.Record, row core.Row) bool {
	if final.State == record.Abandoned || row.Revision == 0 {
		return ex.resolveAbandoned(final, row)
	}
	found, err := record.Decode(row)
	if err != nil || found.Token != final.Token {
		ex.Meter.RecordViolation(meter.AtMostOnce, "order "+final.ID+": another attempt holds the row")
		return false
	}
	switch found.State {
	case record.SettledRan, record.SettledNotRun:
		if final.State != record.Done {
			return false
		}
		final.Settled, final.SettledBy = found.State, found.SettledBy
		if found.State == record.SettledNotRun {
			ex.Meter.Add("orders_settled_wrong_total", 1)
			ex.log().Warn("idem: an order settled as not run did run", zap.String("order", final.ID))
		}
		return true
	case record.Open:
		return true
	}
	if found.State != final.State || !sameAnswer(found, final) {
		ex.Meter.RecordViolation(meter.AtMostOnce, "order "+final.ID+": the row holds another outcome")
	}
	return false
}

// resolveAbandoned is [Executor.resolveConflict] for an abandoned claim, which
// another attempt may have replaced, and for a row that has expired.
func (ex *Executor) resolveAbandoned(final *record.Record, row core.Row) bool {
	found, err := record.Decode(row)
	return row.Revision != 0 && err == nil && found.Token == final.Token && found.State == record.Open
}

// sameAnswer reports whether two records hold the same answer, by status and
// body or by object key.
func sameAnswer(a, b *record.Record) bool {
	if a.Answer == nil || b.Answer == nil {
		return a.Object == b.Object && (a.Answer == nil) == (b.Answer == nil)
	}
	return a.Answer.Status == b.Answer.Status && bytes.Equal(a.Answer.Body, b.Answer.Body)
}
