package grant

import (
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
)

// Counts counts this entry's work at the upstreams.
type Counts interface {
	Reserve(name string, w pool.Work) bool
	Begin(name string, w pool.Work)
	End(name string, w pool.Work)
}

// Local reserves pieces by this entry's own count and the last engine report,
// without leases. Counts is required.
type Local struct {
	Counts Counts
}

// Available returns count, the free pieces by local counts and reports.
func (l *Local) Available(_ string, count int) int { return count }

// Reserve reserves the pieces if enough are free, and reports whether it did.
func (l *Local) Reserve(name string, pieces int) bool {
	return l.Counts.Reserve(name, pool.Work{Pieces: pieces})
}

// Release returns reserved pieces.
func (l *Local) Release(name string, pieces int) {
	l.Counts.End(name, pool.Work{Pieces: pieces})
}

// ReportShortage does nothing: the next report includes memory that became free.
func (l *Local) ReportShortage([]route.Candidate, int) {}
