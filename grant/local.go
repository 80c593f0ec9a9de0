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

// Available returns count, since no better estimate is known here.
func (a *Local) Available(_ string, count int) int { return count }

// Reserve reserves the pieces if enough are free, and reports whether it did.
func (a *Local) Reserve(name string, pieces int) bool {
	return a.Counts.Reserve(name, pool.Work{Pieces: pieces})
}

// Release returns reserved pieces.
func (a *Local) Release(name string, pieces int) {
	a.Counts.End(name, pool.Work{Pieces: pieces})
}

// RequestMore does nothing: free memory shows in the next report.
func (a *Local) ReportShortage([]route.Candidate, int) {}
