package alloc

import (
	"slices"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/pool"
)

// Ledger holds the work that other entries have at the engines whose groups this
// entry owns: what they reported, and what was placed for them since. The zero value
// is ready to use.
type Ledger struct {
	Clock clock.Clock

	mu        sync.Mutex
	entries   map[string]*account
	lastGrant uint64
}

// account is the work of one entry.
type account struct {
	boot   uint64
	report Report
	at     clock.Millis
	grants []grant
}

// grant is a placement that the entry has not reported yet.
type grant struct {
	id   uint64
	at   clock.Millis
	load []Load
}

const (
	// reportTTL is how long a report counts without a newer one: three intervals.
	reportTTL = 3 * reportInterval
	// grantTTL is how long a placement counts that the entry hasn't reported: its
	// answer may have been lost.
	grantTTL = 1 * clock.Second
)

// account returns the account of an entry's run. Another run than before has nothing
// in flight. The caller holds l.mu.
func (l *Ledger) account(entry string, boot uint64) *account {
	if l.entries == nil {
		l.entries = make(map[string]*account)
	}
	a := l.entries[entry]
	if a == nil || boot != a.boot {
		a = &account{boot: boot}
		l.entries[entry] = a
	}
	return a
}

// Grant counts a placement for an entry until it is reported, and returns its ID.
func (l *Ledger) Grant(entry string, boot uint64, c Choice, pieces int) uint64 {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastGrant++
	engine := c.Prefill
	if c.Direct {
		engine = c.Decode
	}
	load := []Load{{Engine: c.Decode, Requests: 1, Pieces: pieces}}
	if engine != "" {
		load = append(load, Load{Engine: engine, Tokens: c.Tokens})
	}
	a := l.account(entry, boot)
	a.grants = append(a.grants, grant{id: l.lastGrant, at: now, load: load})
	return l.lastGrant
}

// Report installs an entry's report, unless it has a later one of the same run.
func (l *Ledger) Report(r Report) {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(r.Entry, r.Boot)
	a.grants = slices.DeleteFunc(a.grants, func(g grant) bool { return slices.Contains(r.Grants, g.id) })
	if r.Seq < a.report.Seq {
		return
	}
	a.report, a.at = r, now
}

// Work returns the work of the other entries at each engine, and forgets what has
// expired.
func (l *Ledger) Work() map[string]pool.Work {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, a := range l.entries {
		a.grants = slices.DeleteFunc(a.grants, func(g grant) bool { return now-g.at > grantTTL })
		if now-a.at > reportTTL {
			a.report.Loads = nil
			if len(a.grants) == 0 && now-a.at > forgetAfter {
				delete(l.entries, name)
			}
		}
	}
	work, _ := l.sum(now)
	return work
}

// Peek is [Ledger.Work] without forgetting anything. It also returns the age of the oldest
// report that counts, zero if there is none.
func (l *Ledger) Peek() (work map[string]pool.Work, oldest clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum(l.Clock.Now())
}

// sum returns the work that has not expired, and the age of the oldest report. The caller
// holds l.mu.
func (l *Ledger) sum(now clock.Millis) (work map[string]pool.Work, oldest clock.Millis) {
	work = make(map[string]pool.Work)
	add := func(loads []Load) {
		for _, load := range loads {
			work[load.Engine] = work[load.Engine].Add(load.work())
		}
	}
	for _, a := range l.entries {
		if now-a.at <= reportTTL && len(a.report.Loads) > 0 {
			add(a.report.Loads)
			oldest = max(oldest, now-a.at)
		}
		for _, g := range a.grants {
			if now-g.at <= grantTTL {
				add(g.load)
			}
		}
	}
	return work, oldest
}

// forgetAfter is the time after which the account of a silent entry is deleted.
const forgetAfter = 1 * clock.Minute
