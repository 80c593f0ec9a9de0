package member

import (
	"sync/atomic"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// CutOffAfter is how long an entry keeps accepting new work without a
// confirmation that its document and drains are up to date.
const CutOffAfter = 8 * clock.Second

// Freshness holds the latest instant at which some state was confirmed to be up
// to date.
type Freshness struct {
	at atomic.Int64
}

// Confirm records a response, from the platform's table or a peer, with no
// version above the active one. sentAt is the instant at which the request was
// sent. The time of the response doesn't count: a response that was read late
// because this process was frozen doesn't confirm the present state.
func (f *Freshness) Confirm(sentAt clock.Millis) {
	for {
		old := f.at.Load()
		if int64(sentAt) <= old || f.at.CompareAndSwap(old, int64(sentAt)) {
			return
		}
	}
}

// CutOff reports whether the document or the drains of this entry have not
// been confirmed for [CutOffAfter]. Either the table and all peers are
// unreachable, or the process was frozen and has sent no request since.
func (t *Table) CutOff() bool {
	oldest := min(t.Document.at.Load(), t.Drains.at.Load())
	return t.Clock.Now()-clock.Millis(oldest) > CutOffAfter
}

// Admit returns an error with the code [codes.CutOff] if this entry must
// reject new work.
func (t *Table) Admit() error {
	if t.CutOff() {
		return codes.New(codes.CutOff, "not confirmed to be up to date for %d ms", CutOffAfter)
	}
	return nil
}
