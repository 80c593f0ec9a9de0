package lease

import (
	"context"
	"encoding/json"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
)

// Table reads and writes rows of the platform's table.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]core.Row, error)
	Commit(ctx context.Context, writes ...core.Write) (core.CommitResult, error)
}

// Prefix is the key prefix of the rows of all leases.
const Prefix = "lease/"

// defaultTTL is the time after the last renewal at which a lease expires.
const defaultTTL = 9 * clock.Second

// Row is the row of a lease in the table.
type Row struct {
	// Holder is the current holder; the zero value means none.
	Holder core.Owner `json:"holder"`
	// Fence is the fencing number. It increases with each change of holder.
	Fence int64 `json:"fence"`
	// DocVersion is the highest document version that was applied under the
	// lease. A holder with an older document sends no orders.
	DocVersion int64 `json:"version"`
	// Renewals increases with each write, which shows other entries that the
	// holder is alive.
	Renewals int64 `json:"beat"`
}

// Holder acquires and renews the lease of one group on behalf of one entry. The
// fields Table, Owner and Group are required.
type Holder struct {
	Table Table
	Clock clock.Clock
	Meter *meter.Registry
	Owner core.Owner
	// Group is the name of the lease.
	Group string
	// TTL is the time after the last renewal at which the lease expires; zero
	// means 9 seconds. It must be the same on every entry.
	TTL clock.Millis
	// TakeoverDelay is added to TTL before this entry takes over a lease whose
	// row doesn't change.
	TakeoverDelay clock.Millis

	mu sync.Mutex
	// row is the row that this entry last wrote, and revision the revision
	// that it last read or wrote.
	row      Row
	revision int64
	// unchangedSince is the instant at which the row was first read with this
	// revision.
	unchangedSince clock.Millis
	// expiresAt is the instant at which the lease held by this entry expires;
	// zero means that it isn't held.
	expiresAt clock.Millis
}

// ttlOrDefault returns the TTL, or its default if it is zero.
func (h *Holder) ttlOrDefault() clock.Millis {
	if h.TTL == 0 {
		return defaultTTL
	}
	return h.TTL
}

// Held returns the row that this entry last wrote, with the fencing number and
// the document version, and the time until the lease expires. The lease is not
// held if that time is zero.
func (h *Holder) Held() (row Row, remaining clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.row, max(0, h.expiresAt-h.Clock.Now())
}

// RenewOrAcquire reads the row and renews the lease if this entry holds it, or
// acquires it if it is free or expired. It must be called several times per
// TTL. version is the version of the document that the caller will apply; the
// lease isn't renewed or acquired for a version older than that of the row.
func (h *Holder) RenewOrAcquire(ctx context.Context, version int64) error {
	rows, err := h.Table.Read(ctx, h.key())
	if err != nil {
		return err
	}
	return h.renewOrAcquire(ctx, rows, version)
}

// key returns the key of the row of the lease.
func (h *Holder) key() string { return Prefix + h.Group }

// renewOrAcquire implements [Holder.RenewOrAcquire] with rows already read; it
// picks its own among them.
func (h *Holder) renewOrAcquire(ctx context.Context, rows []core.Row, version int64) error {
	var own core.Row
	for _, r := range rows {
		if r.Key == h.key() {
			own = r
		}
	}
	next, expect, start, ok, err := h.nextRow(own, version)
	if err != nil || !ok {
		return err
	}
	return h.commit(ctx, next, expect, start)
}

// nextRow decides from the row read whether to renew or acquire the lease. If
// ok, it returns the row to write, the revision expected of the current row, and
// the instant from which the TTL counts.
func (h *Holder) nextRow(current core.Row, version int64) (next Row, expect int64, start clock.Millis, ok bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var row Row
	now := h.Clock.Now()
	expect = current.Revision
	if expect != 0 {
		if err := json.Unmarshal(current.Value, &row); err != nil {
			return row, 0, 0, false, codes.Wrap(codes.Internal, err, "row %s", current.Key)
		}
	}
	if expect != h.revision || h.unchangedSince == 0 {
		h.revision, h.unchangedSince = expect, now
	}
	next = row
	next.Renewals++
	next.DocVersion = max(row.DocVersion, version)
	switch {
	case row.Holder == h.Owner && version >= row.DocVersion:
		return next, expect, now, true, nil
	case row.Holder == h.Owner:
		// The document of this entry is outdated. Let the lease expire, so
		// that an entry with a newer document can take it over.
		h.expiresAt = 0
	case row.Holder == core.Owner{}, now-h.unchangedSince >= h.ttlOrDefault()+h.TakeoverDelay:
		next.Holder = h.Owner
		next.Fence++
		return next, expect, now, version >= row.DocVersion, nil
	default:
		h.expiresAt = 0
	}
	return next, expect, now, false, nil
}

// commit writes the row if its revision is still expect. The TTL counts from
// start, an instant before the write. A write without an answer doesn't extend
// the lease, since it may have failed.
func (h *Holder) commit(ctx context.Context, next Row, expect int64, start clock.Millis) error {
	// Encoding strings and numbers never fails.
	value, _ := json.Marshal(next)
	result, err := h.Table.Commit(ctx, core.Write{Key: h.key(), Value: value, Expect: expect})
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !result.OK() {
		h.expiresAt = 0
		h.Meter.Add("lease_conflicts_total", 1)
		return codes.New(codes.LeaseLost, "lease %s", h.Group)
	}
	if next.Fence != h.row.Fence {
		h.Meter.Add("lease_taken_total", 1)
	}
	h.row, h.revision, h.unchangedSince = next, result.Revisions[0], h.Clock.Now()
	h.expiresAt = start + h.ttlOrDefault()
	return nil
}

// Release releases the lease if it is held, so that another entry can acquire
// it without waiting for its expiry.
func (h *Holder) Release(ctx context.Context) error {
	h.mu.Lock()
	next, expect, held := h.row, h.revision, h.expiresAt > 0
	h.expiresAt = 0
	h.mu.Unlock()
	if !held {
		return nil
	}
	next.Holder = core.Owner{}
	value, _ := json.Marshal(next)
	_, err := h.Table.Commit(ctx, core.Write{Key: h.key(), Value: value, Expect: expect})
	return err
}
