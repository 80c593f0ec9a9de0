package drain

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/notify"
)

// TargetKind is the kind of a drained target.
type TargetKind string

// The kinds of targets.
const (
	Upstream TargetKind = "upstream"
	Instance TargetKind = "instance"
	Centre   TargetKind = "centre"
)

// Drain excludes one upstream, instance or data centre from new work.
type Drain struct {
	Kind TargetKind `json:"kind"`
	Name string     `json:"name"`
	// By is the name of the operator, and At the wall time of the drain in
	// milliseconds since 1970. Both are only displayed.
	By string `json:"by,omitempty"`
	At int64  `json:"at,omitempty"`
}

// Snapshot is the state of all drains at one version. A higher version is
// newer.
type Snapshot struct {
	Version int64   `json:"version"`
	Drains  []Drain `json:"drains,omitempty"`
}

// Has reports whether the target is drained. A nil snapshot has no drains.
func (s *Snapshot) Has(kind TargetKind, name string) bool {
	if s == nil {
		return false
	}
	for _, d := range s.Drains {
		if d.Kind == kind && d.Name == name {
			return true
		}
	}
	return false
}

// Table reads and writes rows of the platform's table.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]core.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]core.Row, error)
	Commit(ctx context.Context, writes ...core.Write) (core.CommitResult, error)
}

// Peers reads the current drains of another entry.
type Peers interface {
	Drains(ctx context.Context, peer string) (Snapshot, error)
}

// Freshness records when this entry was last confirmed to be up to date.
type Freshness interface {
	// Confirm records that a request sent at that instant was answered, with no
	// version above the active one.
	Confirm(sentAt clock.Millis)
}

// ActiveDrains holds the drains that are active on this entry, keeps them up to
// date, and changes them for operators. The field Table is required.
type ActiveDrains struct {
	Table Table
	// Peers and Freshness are optional. Without Peers, only the table is read.
	Peers     Peers
	Freshness Freshness
	Clock     clock.Clock
	Log       *zap.Logger
	// OnChange, if not nil, is called with each new snapshot. Calls don't
	// overlap and are in the order of the versions.
	OnChange func(*Snapshot)

	state atomic.Pointer[Snapshot]
	// apply serializes changes of state.
	apply applyLock
	// reported has the highest version reported by a peer.
	reported notify.HighestVersion
}

// Snapshot returns the active drains. The result is never nil, and the caller
// must not modify it.
func (a *ActiveDrains) Snapshot() *Snapshot {
	if s := a.state.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// List returns the active drains.
func (a *ActiveDrains) List() []Drain { return a.Snapshot().Drains }

// Version returns the version of the active drains.
func (a *ActiveDrains) Version() int64 { return a.Snapshot().Version }
