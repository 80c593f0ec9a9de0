package once

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

// maxRowAnswer is the size up to which an answer is kept in its row. It also
// keeps a full transaction within the platform's limits.
const maxRowAnswer = 16 << 10

// kept are the headers of an answer that are kept with it.
var kept = []string{"Content-Type", "Location", "Retry-After"}

// conclude tells the flight's outcome to its callers once it is kept, or
// after a second at most; the write goes on in the background.
func (b *Book) conclude(f *flight, state record.State, a core.Answer, err error) {
	close(f.known)
	a.Header = keep(a.Header)
	final := f.record
	final.State, final.Ended = state, b.Clock.Wall()
	if err != nil {
		final.Note = codes.From(err).Code.String()
	}
	b.Meter.Add("order_states_total", 1, "state", string(state))
	saved := make(chan struct{})
	b.unkept.Add(1)
	b.tasks.Go(func() {
		defer close(saved)
		defer b.unkept.Add(-1)
		b.save(f, final, a)
	})
	late := make(chan struct{})
	stop := b.Clock.AfterFunc(saveWait, func() { close(late) })
	defer stop()
	select {
	case <-saved:
	case <-late:
		b.Meter.Add("once_saves_late_total", 1)
	}
	if state == record.Abandoned {
		// The next call of the key begins anew, with a token of its own.
		b.end(f)
	}
	f.finish(a, err)
	if state != record.Abandoned {
		<-saved
		b.end(f)
	}
}

func keep(h http.Header) http.Header {
	few := make(http.Header)
	for _, name := range kept {
		if v := h.Values(name); len(v) > 0 {
			few[name] = v
		}
	}
	return few
}

// save writes the final record in place of the claim, however long it takes.
func (b *Book) save(f *flight, final record.Record, a core.Answer) {
	if final.State == record.Done && !b.attach(f, &final, a) {
		return
	}
	expect := f.revision
	for n := 0; ; n++ {
		out := b.write(b.tasks.Context(), &final, expect)
		if out.Revision != 0 {
			return
		}
		if out.Row != nil {
			if !b.merge(&final, *out.Row) {
				return
			}
			expect = out.Row.Revision
			continue
		}
		if b.pause(b.tasks.Context(), n) != nil {
			return
		}
	}
}

// attach puts the answer in the record, or in an object where it is large. It
// returns false if the answer can't be kept; the row then stays open and will
// read as unknown.
func (b *Book) attach(f *flight, final *record.Record, a core.Answer) bool {
	if !b.quota.Grow(int64(len(a.Body)), b.limitBytes()) {
		b.Meter.Add("once_answers_dropped_total", 1)
		b.log().Warn("once: an answer is not kept, too many wait for the platform", zap.String("order", final.ID))
		return false
	}
	defer b.quota.Shrink(int64(len(a.Body)))
	if len(a.Body) <= maxRowAnswer || b.Objects == nil {
		final.Answer = &a
		return true
	}
	// The token makes the object's key one that no other attempt writes.
	final.Object = final.RowKey() + "/" + final.Token
	data, err := json.Marshal(a)
	if err != nil {
		return false
	}
	for n := 0; b.Objects.Put(b.tasks.Context(), final.Object, data) != nil; n++ {
		if b.pause(b.tasks.Context(), n) != nil {
			return false
		}
	}
	return true
}

// merge looks at a row that stands where the flight's claim stood, and
// reports whether final is to be written over it. Only an operator's finding
// may stand there; anything else breaks the promise and is left alone.
func (b *Book) merge(final *record.Record, row core.Row) bool {
	if final.State == record.Abandoned || row.Revision == 0 {
		return b.mergeGone(final, row)
	}
	found, err := record.Decode(row)
	if err != nil || found.Token != final.Token {
		b.Meter.Violated(meter.AtMostOnce, "order "+final.ID+": another attempt holds the row")
		return false
	}
	switch found.State {
	case record.SettledRan, record.SettledNotRun:
		if final.State != record.Done {
			return false
		}
		final.Settled, final.SettledBy = found.State, found.SettledBy
		if found.State == record.SettledNotRun {
			b.Meter.Add("orders_settled_wrong_total", 1)
			b.log().Warn("once: an order that was settled as not run has run", zap.String("order", final.ID))
		}
		return true
	case record.Open:
		return true
	}
	if found.State != final.State || !sameAnswer(found, final) {
		b.Meter.Violated(meter.AtMostOnce, "order "+final.ID+": another outcome is kept")
	}
	return false
}

// mergeGone is [Book.merge] for a claim that is given up, which another
// attempt may have taken over since, and for a row that has expired since it
// was written.
func (b *Book) mergeGone(final *record.Record, row core.Row) bool {
	found, err := record.Decode(row)
	return row.Revision != 0 && err == nil && found.Token == final.Token && found.State == record.Open
}

func sameAnswer(a, b *record.Record) bool {
	if a.Answer == nil || b.Answer == nil {
		return a.Object == b.Object && (a.Answer == nil) == (b.Answer == nil)
	}
	return a.Answer.Status == b.Answer.Status && bytes.Equal(a.Answer.Body, b.Answer.Body)
}
