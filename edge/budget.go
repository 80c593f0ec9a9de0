package edge

import (
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/limit"
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

// TakeRetries implements [relay.Budget].
func (e *Edge) TakeRetries(service string, n int) bool {
	return e.budget(service).Spend(e.Clock.Now(), e.quota(), n)
}

// ReturnRetries implements [relay.Budget].
func (e *Edge) ReturnRetries(service string, since clock.Millis, n int) {
	e.budget(service).Return(since, e.Clock.Now(), e.quota(), n)
}
