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

// ActiveDocument holds the active version of the document at this entry. The zero value
// has none.
type ActiveDocument struct {
	Clock clock.Clock
	// OnChange, if not nil, is called with each new version. Calls never
	// overlap, and versions only increase.
	OnChange func(*View)

	view        atomic.Pointer[View]
	offerMu     sync.Mutex
	activeSince atomic.Int64
}

// View returns the active version, or nil.
func (b *ActiveDocument) View() *View {
	return b.view.Load()
}

// Version returns the number of the active version, or zero.
func (b *ActiveDocument) Version() int64 {
	if v := b.View(); v != nil {
		return v.Doc.Version
	}
	return 0
}

// ActiveSince returns the instant at which the active version was installed
// here.
func (b *ActiveDocument) ActiveSince() clock.Millis {
	return clock.Millis(b.activeSince.Load())
}

// Update activates doc if its version is higher than the active one, and
// reports whether it did.
func (b *ActiveDocument) Update(doc *core.Document) bool {
	if doc.Version <= b.Version() {
		return false
	}
	next := NewView(doc)
	b.offerMu.Lock()
	defer b.offerMu.Unlock()
	if doc.Version <= b.Version() {
		return false
	}
	b.activeSince.Store(int64(b.Clock.Now()))
	b.view.Store(next)
	if b.OnChange != nil {
		b.OnChange(next)
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
