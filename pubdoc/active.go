package pubdoc

import (
	"context"
	"sync"
	"sync/atomic"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Table is the part of the platform's store that publishing needs.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]core.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]core.Row, error)
	Commit(ctx context.Context, writes ...core.Write) (core.CommitResult, error)
}

// ActiveDocument holds the version of the document that is active at this entry.
// The zero value has none.
type ActiveDocument struct {
	Clock clock.Clock
	// BeforeChange, if not nil, is called with each new version before it is active, and
	// OnChange afterwards. Calls never overlap, and versions only increase.
	BeforeChange, OnChange func(*View)

	view atomic.Pointer[View]
	// updateMu serializes Update.
	updateMu    sync.Mutex
	activeSince atomic.Int64
}

// View returns the active version, or nil.
func (a *ActiveDocument) View() *View {
	return a.view.Load()
}

// Version returns the number of the active version, or zero.
func (a *ActiveDocument) Version() int64 {
	if v := a.View(); v != nil {
		return v.Doc.Version
	}
	return 0
}

// ActiveSince returns the instant at which the active version was installed
// here.
func (a *ActiveDocument) ActiveSince() clock.Millis {
	return clock.Millis(a.activeSince.Load())
}

// Update activates doc if its version is higher than the active one, and
// reports whether it did.
func (a *ActiveDocument) Update(doc *core.Document) bool {
	if doc.Version <= a.Version() {
		return false
	}
	next := NewView(doc)
	a.updateMu.Lock()
	defer a.updateMu.Unlock()
	if doc.Version <= a.Version() {
		return false
	}
	if a.BeforeChange != nil {
		a.BeforeChange(next)
	}
	a.activeSince.Store(int64(a.Clock.Now()))
	a.view.Store(next)
	if a.OnChange != nil {
		a.OnChange(next)
	}
	return true
}

// ReadDocument reads the document from the table. It returns nil if none has
// been published.
func ReadDocument(ctx context.Context, t Table) (*core.Document, error) {
	rows, err := t.Read(ctx, DocumentKey)
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	doc := &core.Document{}
	return doc, decode(rows[0], doc)
}
