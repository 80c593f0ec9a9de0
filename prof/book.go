package prof

import (
	"context"
	"sync"
	"sync/atomic"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Table is the part of the platform's table that publishing needs.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]core.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]core.Row, error)
	Commit(ctx context.Context, writes ...core.Write) (core.Committed, error)
}

// Book holds the version in force at this entry. The zero value has none.
type Book struct {
	Clock clock.Clock
	// OnChange, if not nil, is called with each new version, never twice at
	// once, and never with a lower version after a higher one.
	OnChange func(*View)

	view  atomic.Pointer[View]
	apply sync.Mutex
	since atomic.Int64
}

// View returns the version in force, or nil.
func (b *Book) View() *View {
	return b.view.Load()
}

// Version returns the number of the version in force, or zero.
func (b *Book) Version() int64 {
	if v := b.View(); v != nil {
		return v.Doc.Version
	}
	return 0
}

// Since returns the instant at which the version came in force here.
func (b *Book) Since() clock.Millis {
	return clock.Millis(b.since.Load())
}

// Offer puts doc in force if its version is higher than the present one, and
// reports whether it did.
func (b *Book) Offer(doc *core.Document) bool {
	if doc.Version <= b.Version() {
		return false
	}
	fresh := NewView(doc)
	b.apply.Lock()
	defer b.apply.Unlock()
	if doc.Version <= b.Version() {
		return false
	}
	b.since.Store(int64(b.Clock.Now()))
	b.view.Store(fresh)
	if b.OnChange != nil {
		b.OnChange(fresh)
	}
	return true
}

// Fetch reads the document from the table; nil means that there is none.
func Fetch(ctx context.Context, t Table) (*core.Document, error) {
	rows, err := t.Read(ctx, Key)
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	doc := &core.Document{}
	return doc, decode(rows[0], doc)
}
