package drain

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/notify"
)

// Kind is what a drain is of.
type Kind string

// The kinds of drain.
const (
	Upstream Kind = "upstream"
	Instance Kind = "instance"
	Centre   Kind = "centre"
)

// Drain keeps new work from one upstream, instance or data centre.
type Drain struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// By names the operator, and At is the wall time in milliseconds since
	// 1970, for people only.
	By string `json:"by,omitempty"`
	At int64  `json:"at,omitempty"`
}

// Set is one state of all drains. A higher version is a newer state.
type Set struct {
	Version int64   `json:"version"`
	Drains  []Drain `json:"drains,omitempty"`
}

// Has reports whether the named thing is drained.
func (s *Set) Has(kind Kind, name string) bool {
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

// Table is the part of the platform's table that drains need.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]core.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]core.Row, error)
	Commit(ctx context.Context, writes ...core.Write) (core.Committed, error)
}

// Peers reads the drains that another entry knows.
type Peers interface {
	Drains(ctx context.Context, peer string) (Set, error)
}

// Freshness takes note of when this entry was last known to be up to date.
type Freshness interface {
	// Confirm says that a question asked at that instant was answered, and the
	// answer showed nothing newer than what is in force here.
	Confirm(asked clock.Millis)
}

// Book holds the drains in force at this entry. Table is needed.
type Book struct {
	Table Table
	// Peers may be nil; then only the table is asked.
	Peers     Peers
	Freshness Freshness
	Clock     clock.Clock
	Log       *zap.Logger
	// OnChange, if not nil, is called with each new state, never twice at
	// once, and never with an older state after a newer one.
	OnChange func(*Set)

	state   atomic.Pointer[Set]
	apply   applier
	updates notify.Latest
}

// State returns the drains in force. It is never nil and must not be changed.
func (b *Book) State() *Set {
	if s := b.state.Load(); s != nil {
		return s
	}
	return &Set{}
}

// List returns the drains in force.
func (b *Book) List() []Drain { return b.State().Drains }

// Version returns the number of the state in force.
func (b *Book) Version() int64 { return b.State().Version }
