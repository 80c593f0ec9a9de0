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

// pollInterval is the interval between two reads of the table. Together with the
// timeout of a read, it is shorter than the 3 s within which a drain must
// take effect.
const pollInterval = 1500 * clock.Millis(1)

// maxRows is the maximum number of rows that are read.
const maxRows = 1000

// applyLock serializes changes of the active drains.
type applyLock struct {
	mu sync.Mutex
}

// Run polls the table, and also reads it when a peer reports a newer version,
// until ctx ends.
func (a *ActiveDrains) Run(ctx context.Context) {
	for ctx.Err() == nil {
		a.poll(ctx)
		a.reported.Wait(ctx, a.Clock, pollInterval)
	}
}

// poll reads the table. If the read fails or returns an older version than a
// peer has reported, it reads the drains of that peer.
func (a *ActiveDrains) poll(ctx context.Context) {
	if err := a.Refresh(ctx); err != nil && ctx.Err() == nil && a.Log != nil {
		a.Log.Warn("drain: reading the drains failed", zap.Error(err))
	}
	version, peer := a.reported.Get()
	if a.Peers == nil || version <= a.Version() {
		return
	}
	s, err := a.Peers.Drains(ctx, peer)
	if err != nil {
		if a.Log != nil {
			a.Log.Warn("drain: reading the drains of a peer failed", zap.String("peer", peer), zap.Error(err))
		}
		return
	}
	if s.Version > a.Version() {
		a.update(&s)
	}
}

// ReportVersion records that the entry at the peer address has drains of the
// given version, and wakes [ActiveDrains.Run] if they are newer.
func (a *ActiveDrains) ReportVersion(version int64, peer string) {
	if version > a.Version() {
		a.reported.Report(version, peer)
	}
}

// Refresh reads the drains from the table and activates them.
func (a *ActiveDrains) Refresh(ctx context.Context) error {
	sentAt := a.Clock.Now()
	rows, err := a.Table.List(ctx, Prefix, "", maxRows)
	if err != nil {
		return err
	}
	version, err := parseVersion(findRow(rows, versionKey))
	if err != nil {
		return err
	}
	s := &Snapshot{Version: version}
	for _, row := range rows {
		if d, ok := parseDrain(row); ok {
			s.Drains = append(s.Drains, d)
		}
	}
	a.update(s)
	if a.Freshness != nil && s.Version >= a.Version() {
		a.Freshness.Confirm(sentAt)
	}
	return nil
}

// parseDrain parses the row of one drain. The target is taken from the key
// alone, so that a drain with an invalid value still takes effect.
func parseDrain(row core.Row) (Drain, bool) {
	kind, name, ok := strings.Cut(strings.TrimPrefix(row.Key, Prefix), "/")
	if !ok {
		return Drain{}, false
	}
	var d Drain
	_ = json.Unmarshal(row.Value, &d)
	d.Kind, d.Name = TargetKind(kind), name
	return d, d.validate() == nil
}

// update activates s unless it is older than the active drains or the same.
func (a *ActiveDrains) update(s *Snapshot) {
	a.apply.mu.Lock()
	defer a.apply.mu.Unlock()
	if old := a.state.Load(); old != nil && (old.Version > s.Version || sameSnapshot(old, s)) {
		return
	}
	a.state.Store(s)
	if a.OnChange != nil {
		a.OnChange(s)
	}
}

// sameSnapshot reports whether two snapshots have equal versions and drains.
func sameSnapshot(a, b *Snapshot) bool {
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
