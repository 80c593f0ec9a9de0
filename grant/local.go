package grant

import (
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
)

// Counts are this entry's counts of the work at the upstreams.
type Counts interface {
	Reserve(name string, w pool.Work) bool
	Begin(name string, w pool.Work)
	End(name string, w pool.Work)
}

// Alone gives out what this entry's own counts and the last report leave
// free. Counts is needed.
type Alone struct {
	Counts Counts
}

// Free returns count: there is no better knowledge.
func (a *Alone) Free(_ string, count int) int { return count }

// Take counts the pieces if there is room for them.
func (a *Alone) Take(name string, pieces int) bool {
	return a.Counts.Reserve(name, pool.Work{Pieces: pieces})
}

// Give ends the count of the pieces.
func (a *Alone) Give(name string, pieces int) {
	a.Counts.End(name, pool.Work{Pieces: pieces})
}

// Short does nothing: the next report tells of free memory.
func (a *Alone) Short([]route.Candidate, int) {}
