package drain

import (
	"context"
	"encoding/json"
	"strings"
	"sync"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// pollEvery is the time between two reads of the rows. With [Table]'s own
// timeout it stays below the 3 s within which a drain is in force.
const pollEvery = 1500 * clock.Millis(1)

// maxRows bounds the drains that are read at once.
const maxRows = 1000

// applier hands states on, one at a time and in order.
type applier struct {
	mu sync.Mutex
}

// Run follows the table and what peers report until ctx ends.
func (b *Book) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b.once(ctx)
		b.updates.Wait(ctx, b.Clock, pollEvery)
	}
}

// once reads the table, and the peer that has a newer state if the table
// can't be read or lags.
func (b *Book) once(ctx context.Context) {
	if err := b.Refresh(ctx); err != nil && ctx.Err() == nil && b.Log != nil {
		b.Log.Warn("drain: the drains can't be read", zap.Error(err))
	}
	version, peer := b.updates.Get()
	if b.Peers == nil || version <= b.Version() {
		return
	}
	s, err := b.Peers.Drains(ctx, peer)
	if err != nil {
		if b.Log != nil {
			b.Log.Warn("drain: a peer's drains can't be read", zap.String("peer", peer), zap.Error(err))
		}
		return
	}
	if s.Version > b.Version() {
		b.offer(&s)
	}
}

// News says that the entry at the peer address has drains of that version.
func (b *Book) Newer(version int64, peer string) {
	if version > b.Version() {
		b.updates.Put(version, peer)
	}
}

// Refresh reads the drains from the table and puts them in force.
func (b *Book) Refresh(ctx context.Context) error {
	asked := b.Clock.Now()
	rows, err := b.Table.List(ctx, Prefix, "", maxRows)
	if err != nil {
		return err
	}
	version, err := parseVersion(find(rows, versionKey))
	if err != nil {
		return err
	}
	s := &Set{Version: version}
	for _, row := range rows {
		if d, ok := parse(row); ok {
			s.Drains = append(s.Drains, d)
		}
	}
	b.offer(s)
	if b.Freshness != nil && s.Version >= b.Version() {
		b.Freshness.Confirm(asked)
	}
	return nil
}

// parse reads one drain. The key alone says what is drained; a value that
// can't be read takes nothing from that.
func parse(row core.Row) (Drain, bool) {
	kind, name, ok := strings.Cut(strings.TrimPrefix(row.Key, Prefix), "/")
	if !ok {
		return Drain{}, false
	}
	var d Drain
	_ = json.Unmarshal(row.Value, &d)
	d.Kind, d.Name = Kind(kind), name
	return d, d.check() == nil
}

// offer puts s in force unless it is older than the state in force.
func (b *Book) offer(s *Set) {
	b.apply.mu.Lock()
	defer b.apply.mu.Unlock()
	if old := b.state.Load(); old != nil && (old.Version > s.Version || same(old, s)) {
		return
	}
	b.state.Store(s)
	if b.OnChange != nil {
		b.OnChange(s)
	}
}

func same(a, b *Set) bool {
	if a.Version != b.Version || len(a.Drains) != len(b.Drains) {
		return false
	}
	for i := range a.Drains {
		if a.Drains[i] != b.Drains[i] {
			return false
		}
	}
	return true
}
