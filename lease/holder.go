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

// Table is the part of the platform's table that leases need.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]core.Row, error)
	Commit(ctx context.Context, writes ...core.Write) (core.Committed, error)
}

// Prefix begins the keys of all leases' rows.
const Prefix = "lease/"

// defaultSpan is how long a lease holds after its last renewal.
const defaultSpan = 9 * clock.Second

// Row is a lease's row in the table.
type Row struct {
	// Holder is the present holder; the zero value is none.
	Holder core.Owner `json:"holder"`
	// Fence is the fencing number. It rises with each change of holder.
	Fence int64 `json:"fence"`
	// Version is the highest version of the document that was carried out
	// under the lease. A holder with a lower one gives no orders.
	Version int64 `json:"version"`
	// Beat rises with each renewal.
	Beat int64 `json:"beat"`
}

// Holder holds a lease, or tries to. Table, Owner and Group are needed.
type Holder struct {
	Table Table
	Clock clock.Clock
	Meter *meter.Set
	Owner core.Owner
	// Group names the lease.
	Group string
	// Span is how long the lease holds after its last renewal; zero is 9
	// seconds. Every candidate must use the same.
	Span clock.Millis
	// Wait is how long a row must be seen unchanged beyond its span before
	// this candidate takes it over.
	Wait clock.Millis

	mu       sync.Mutex
	row      Row
	revision int64
	// seen is when the row was first seen at its revision.
	seen clock.Millis
	// until is when the lease lapses that is held; zero is none.
	until clock.Millis
}

func (h *Holder) span() clock.Millis {
	if h.Span == 0 {
		return defaultSpan
	}
	return h.Span
}

// Held returns the fencing number of the lease that is held, the highest
// version carried out under it, and how long it holds. A rest of zero means
// that it is not held.
func (h *Holder) Held() (row Row, rest clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.row, max(0, h.until-h.Clock.Now())
}

// Tend reads the row, and then renews the lease, takes it over, or leaves it
// with its holder. It must be called several times in each span. The version
// is that of the document which the caller is about to carry out.
func (h *Holder) Tend(ctx context.Context, version int64) error {
	rows, err := h.Table.Read(ctx, h.key())
	if err != nil {
		return err
	}
	return h.tend(ctx, rows, version)
}

func (h *Holder) key() string { return Prefix + h.Group }

// tend is [Holder.Tend] with rows that were read together with others.
func (h *Holder) tend(ctx context.Context, rows []core.Row, version int64) error {
	var own core.Row
	for _, r := range rows {
		if r.Key == h.key() {
			own = r
		}
	}
	next, expect, start, ok, err := h.next(own, version)
	if err != nil || !ok {
		return err
	}
	return h.write(ctx, next, expect, start)
}

// next looks at the row and returns what is to be written, if anything, and
// the instant from which the lease then holds.
func (h *Holder) next(found core.Row, version int64) (next Row, expect int64, start clock.Millis, ok bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var row Row
	now := h.Clock.Now()
	expect = found.Revision
	if expect != 0 {
		if err := json.Unmarshal(found.Value, &row); err != nil {
			return row, 0, 0, false, codes.Wrap(codes.Internal, err, "row %s", found.Key)
		}
	}
	if expect != h.revision || h.seen == 0 {
		h.revision, h.seen = expect, now
	}
	next = row
	next.Beat++
	next.Version = max(row.Version, version)
	switch {
	case row.Holder == h.Owner && version >= row.Version:
		return next, expect, now, true, nil
	case row.Holder == h.Owner:
		// This entry's document is behind; another may do better.
		h.until = 0
	case row.Holder == core.Owner{}, now-h.seen >= h.span()+h.Wait:
		next.Holder = h.Owner
		next.Fence++
		return next, expect, now, version >= row.Version, nil
	default:
		h.until = 0
	}
	return next, expect, now, false, nil
}

// write makes the conditional write. The lease holds for a span from start,
// which was before the write; a write without an answer doesn't extend it.
func (h *Holder) write(ctx context.Context, next Row, expect int64, start clock.Millis) error {
	// A row of strings and numbers always encodes.
	value, _ := json.Marshal(next)
	done, err := h.Table.Commit(ctx, core.Write{Key: h.key(), Value: value, Expect: expect})
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !done.OK() {
		h.until = 0
		h.Meter.Add("lease_conflicts_total", 1)
		return codes.New(codes.LeaseLost, "lease %s", h.Group)
	}
	if next.Fence != h.row.Fence {
		h.Meter.Add("lease_taken_total", 1)
	}
	h.row, h.revision, h.seen = next, done.Revisions[0], h.Clock.Now()
	h.until = start + h.span()
	return nil
}

// Release gives the lease up, so that another entry need not wait its span.
func (h *Holder) Release(ctx context.Context) error {
	h.mu.Lock()
	next, expect, held := h.row, h.revision, h.until > 0
	h.until = 0
	h.mu.Unlock()
	if !held {
		return nil
	}
	next.Holder = core.Owner{}
	value, _ := json.Marshal(next)
	_, err := h.Table.Commit(ctx, core.Write{Key: h.key(), Value: value, Expect: expect})
	return err
}
