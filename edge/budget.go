package edge

import (
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/limit"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
)

// budgetMargin is the fraction of the platform's retry budget that the
// entries use. The rest covers entries that have not discovered each other yet,
// and time windows that don't start at the same instant.
const budgetMargin = 0.75

// minEntries is the least number of entries that the fixed allowance is
// divided by, since an entry that just started may not have discovered its peers.
const minEntries = 3

// quota returns this entry's share of the retry budget. The number of retries
// sent before a restart is not known, so a restarted entry gets no fixed
// allowance during the first span.
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

// announcingPool implements [relay.Pool] with the pool table. It adds the work of
// the peers to the table and announces changes of this entry's own work to them.
type announcingPool struct {
	*pool.Table
	edge *Edge
}

// Candidates implements [relay.Pool]. It first updates the work of the peers if
// that has changed.
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
func (p *announcingPool) FinishPrefill(name string, id uint64, w pool.Work, took clock.Millis, blocks []uint64) {
	p.Table.FinishPrefill(name, id, w, took, blocks)
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
