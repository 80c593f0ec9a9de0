package member

import (
	"sync/atomic"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// CutOffAfter is how long an entry goes on taking new work without a sign
// that it is up to date.
const CutOffAfter = 8 * clock.Second

// Mark is the latest instant at which something was known to be up to date.
type Mark struct {
	at atomic.Int64
}

// Fresh says that the platform's table or a peer answered a question asked at
// that instant, and knew nothing newer than what is in force here. The
// instant of the question counts and not that of the answer: an answer that
// waited while this process was frozen says nothing of the present.
func (m *Mark) Fresh(asked clock.Millis) {
	for {
		old := m.at.Load()
		if int64(asked) <= old || m.at.CompareAndSwap(old, int64(asked)) {
			return
		}
	}
}

// CutOff reports whether this entry has had no sign for [CutOffAfter] that its
// document and its drains are up to date: it is cut off from the table and
// from all peers, or it was frozen and has not asked since.
func (t *Table) CutOff() bool {
	oldest := min(t.Document.at.Load(), t.Drains.at.Load())
	return t.Clock.Now()-clock.Millis(oldest) > CutOffAfter
}

// Admit returns an error with the code [codes.CutOff] if this entry takes no
// new work.
func (t *Table) Admit() error {
	if t.CutOff() {
		return codes.New(codes.CutOff, "no sign of being up to date for %d ms", CutOffAfter)
	}
	return nil
}
