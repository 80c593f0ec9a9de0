package edge

import (
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/limit"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
)

// budgetMargin is the fraction of the platform's retry budget that the
// entries use. The rest covers entries that don't know of each other yet, and
// time windows that don't start at the same instant.
const budgetMargin = 0.75

// minEntries is the least number of entries that the fixed allowance is
// divided by, since an entry that just started may know too few.
const minEntries = 3

// quota returns this entry's share of the retry budget. Retries sent before a
// restart are unknown, so a restarted entry gets no fixed allowance during
// the first span.
func (e *Edge) quota() limit.Quota {
	f := e.Settings.Fleet
	span := f.Retries.Span.Millis()
	q := limit.Quota{Span: span, Ratio: f.Retries.Ratio * budgetMargin}
	if f.Fresh || e.Clock.Now()-e.startedAt >= span {
		n := max(e.gossip.MaxEntries(), minEntries)
		q.Allowance = f.Retries.Slack * budgetMargin / float64(n)
	}
	return q
}

// budget returns the retry window of a service.
func (e *Edge) budget(service string) *limit.Window {
	return e.budgets.Ensure(service, func() *limit.Window { return &limit.Window{} })
}

// CountFirst implements [relay.Budget].
func (e *Edge) CountFirst(service string) { e.budget(service).CountFirst(e.Clock.Now(), e.quota()) }

// TakeRetry implements [relay.Budget].
func (e *Edge) TakeRetry(service string) bool {
	return e.budget(service).Spend(e.Clock.Now(), e.quota())
}

// announcingPool is the pool table with the work of the peers added. It
// announces changes of this entry's own work to the peers.
type announcingPool struct {
	*pool.Table
	edge *Edge
}

// Candidates implements [relay.Pool].
func (p *announcingPool) Candidates(role core.Role, model string, blocks []uint64, buf []route.Candidate) []route.Candidate {
	if p.edge.peerWorkStale.CompareAndSwap(true, false) {
		p.Table.SetOthers(p.edge.gossip.PeerWork())
	}
	return p.Table.Candidates(role, model, blocks, buf)
}

// Begin implements [relay.Pool].
func (p *announcingPool) Begin(name string, w pool.Work) {
	p.Table.Begin(name, w)
	p.announce(w)
}

// End implements [relay.Pool].
func (p *announcingPool) End(name string, w pool.Work) {
	p.Table.End(name, w)
	p.announce(w)
}

// StartPrefill implements [relay.Pool].
func (p *announcingPool) StartPrefill(name string, w pool.Work) uint64 {
	defer p.announce(w)
	return p.Table.StartPrefill(name, w)
}

// FinishPrefill implements [relay.Pool].
func (p *announcingPool) FinishPrefill(name string, flight uint64, w pool.Work, took clock.Millis, blocks []uint64) {
	p.Table.FinishPrefill(name, flight, w, took, blocks)
	p.announce(w)
}

// announce sends a heartbeat to the peers soon if the work changes tokens or
// pieces. Only these matter to the peers' choices: engines are few and
// prefills take long, whereas calls of plain services are short.
func (p *announcingPool) announce(w pool.Work) {
	if w.Tokens != 0 || w.Pieces != 0 {
		p.edge.gossip.Trigger()
	}
}
