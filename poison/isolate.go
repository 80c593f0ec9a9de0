package poison

import (
	"context"
	"encoding/json"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Isolate waits, if the digest is a suspect, until no other suspect of any
// entry runs on the upstreams, and reserves them until leave is called. A
// digest that is not a suspect proceeds at once.
func (q *Quarantine) Isolate(ctx context.Context, digest uint64, upstreams ...string) (leave func(), err error) {
	if !q.Suspect(digest) {
		return func() {}, nil
	}
	if err := q.reserve(ctx, upstreams); err != nil {
		return nil, err
	}
	leases, err := q.acquireLeases(ctx, upstreams)
	if err != nil {
		q.unreserve(upstreams)
		return nil, err
	}
	return func() {
		q.releaseLeases(ctx, leases)
		q.unreserve(upstreams)
	}, nil
}

// reserve waits until no other suspect of this entry runs on the upstreams, and
// reserves them within this entry.
func (q *Quarantine) reserve(ctx context.Context, upstreams []string) error {
	for {
		freed, ok := q.tryReserve(upstreams)
		if ok {
			return nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryReserve reserves the upstreams if all are free. Otherwise it returns a
// channel that is closed when some upstream is freed.
func (q *Quarantine) tryReserve(upstreams []string) (freed <-chan struct{}, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.busy == nil {
		q.busy = make(map[string]bool)
		q.freed = make(chan struct{})
	}
	for _, name := range upstreams {
		if q.busy[name] {
			return q.freed, false
		}
	}
	for _, name := range upstreams {
		q.busy[name] = true
	}
	return nil, true
}

// unreserve frees the upstreams and wakes all waiters.
func (q *Quarantine) unreserve(upstreams []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, name := range upstreams {
		delete(q.busy, name)
	}
	close(q.freed)
	q.freed = make(chan struct{})
}

// lease is the value of the row that reserves an upstream against suspects of
// other entries.
type lease struct {
	Entry string `json:"entry"`
	// Until is the wall time at which the lease expires.
	Until clock.Millis `json:"until"`
}

// Bounds of a lease.
const (
	leaseDuration      = 2 * clock.Minute
	leaseRetryInterval = 250 * clock.Millis(1)
	leasePrefix        = "poison/room/"
	releaseTimeout     = 2 * clock.Second
)

// acquireLeases waits for the leases of all upstreams and returns their rows as
// written. While the table is down it acquires none: suspects are then isolated
// only within each entry.
func (q *Quarantine) acquireLeases(ctx context.Context, upstreams []string) ([]core.Row, error) {
	for q.Table != nil {
		writes, free, err := q.leaseWrites(ctx, upstreams)
		if err != nil {
			break
		}
		if free {
			done, err := q.Table.Commit(ctx, writes...)
			if err != nil {
				break
			}
			if done.OK() {
				return leaseRows(writes, done), nil
			}
		}
		if err := q.Clock.Sleep(ctx, leaseRetryInterval); err != nil {
			return nil, err
		}
	}
	return nil, ctx.Err()
}

// leaseWrites returns the writes that acquire the leases, and whether all
// upstreams are free.
func (q *Quarantine) leaseWrites(ctx context.Context, upstreams []string) (writes []core.Write, free bool, err error) {
	keys := make([]string, len(upstreams))
	for i, name := range upstreams {
		keys[i] = leasePrefix + name
	}
	rows, err := q.Table.Read(ctx, keys...)
	if err != nil {
		return nil, false, err
	}
	now := q.wall()
	// Encoding a lease cannot fail.
	value, _ := json.Marshal(lease{Entry: q.Self, Until: now + leaseDuration})
	for _, key := range keys {
		w := core.Write{Key: key, Value: value}
		for _, row := range rows {
			var current lease
			if row.Key != key {
				continue
			}
			if json.Unmarshal(row.Value, &current) == nil && current.Until > now {
				return nil, false, nil
			}
			w.Expect = row.Revision
		}
		writes = append(writes, w)
	}
	return writes, true, nil
}

// leaseRows returns the keys and revisions of committed leases, which
// releaseLeases needs.
func leaseRows(writes []core.Write, done core.CommitResult) []core.Row {
	rows := make([]core.Row, len(writes))
	for i, w := range writes {
		rows[i] = core.Row{Key: w.Key, Revision: done.Revisions[i]}
	}
	return rows
}

// releaseLeases deletes the leases, even if ctx has ended. One that cannot be
// deleted expires after leaseDuration.
func (q *Quarantine) releaseLeases(ctx context.Context, rows []core.Row) {
	if len(rows) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout.Duration())
	defer cancel()
	writes := make([]core.Write, len(rows))
	for i, row := range rows {
		writes[i] = core.Write{Key: row.Key, Expect: row.Revision, Delete: true}
	}
	_, _ = q.Table.Commit(ctx, writes...)
}
