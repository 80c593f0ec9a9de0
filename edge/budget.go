package edge

import (
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/limit"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
)

// budgetMargin is the part of the shared retry budget that the entries use.
// The rest covers entries that don't know of each other yet and windows that
// don't begin at the same instant.
const budgetMargin = 0.75

// leastEntries is the number of entries that the slack is split over at the
// least, since an entry that has just started may know of too few.
const leastEntries = 3

// quota returns what this entry may send again. What it sent before a restart
// is not known and counts as its whole allowance for one span.
func (e *Edge) quota() limit.Quota {
	f := e.Settings.Fleet
	span := f.Retries.Span.Millis()
	q := limit.Quota{Span: span, Ratio: f.Retries.Ratio * budgetMargin}
	if f.Fresh || e.Clock.Now()-e.since >= span {
		n := max(e.gossip.Count(), leastEntries)
		q.Allowance = f.Retries.Slack * budgetMargin / float64(n)
	}
	return q
}

func (e *Edge) budget(service string) *limit.Window {
	return e.budgets.Ensure(service, func() *limit.Window { return &limit.Window{} })
}

// First implements [relay.Budget].
func (e *Edge) First(service string) { e.budget(service).First(e.Clock.Now(), e.quota()) }

// Spend implements [relay.Budget].
func (e *Edge) Spend(service string) bool { return e.budget(service).Spend(e.Clock.Now(), e.quota()) }

// counted is the pool with the peers' work in it, which tells the peers when
// this entry's own work changes.
type counted struct {
	*pool.Table
	edge *Edge
}

// Candidates implements [relay.Pool].
func (c *counted) Candidates(role core.Role, model string, blocks []uint64, buf []route.Candidate) []route.Candidate {
	if c.edge.stale.CompareAndSwap(true, false) {
		c.Table.SetOthers(c.edge.gossip.Others())
	}
	return c.Table.Candidates(role, model, blocks, buf)
}

// Begin implements [relay.Pool].
func (c *counted) Begin(name string, w pool.Work) {
	c.Table.Begin(name, w)
	c.tell(w)
}

// End implements [relay.Pool].
func (c *counted) End(name string, w pool.Work) {
	c.Table.End(name, w)
	c.tell(w)
}

// Start implements [relay.Pool].
func (c *counted) Start(name string, w pool.Work) uint64 {
	defer c.tell(w)
	return c.Table.Start(name, w)
}

// Finish implements [relay.Pool].
func (c *counted) Finish(name string, flight uint64, w pool.Work, took clock.Millis, blocks []uint64) {
	c.Table.Finish(name, flight, w, took, blocks)
	c.tell(w)
}

// tell lets the peers know of a change that matters to their choices: engines
// are few and a prompt takes long; calls of plain services are short.
func (c *counted) tell(w pool.Work) {
	if w.Tokens != 0 || w.Pieces != 0 {
		c.edge.gossip.Changed()
	}
}
