package prof

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// Key is the table's row that holds the document.
const Key = "prof/document"

// Table is the part of the platform's table that publishing needs.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]core.Row, error)
	Commit(ctx context.Context, writes ...core.Write) (core.Committed, error)
}

// Book holds the version in force at this entry. The zero value has none.
type Book struct {
	// OnChange, if not nil, is called with each new version.
	OnChange func(*View)

	view atomic.Pointer[View]
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

// Offer puts doc in force if its version is higher than the present one, and
// reports whether it did.
func (b *Book) Offer(doc *core.Document) bool {
	fresh := NewView(doc)
	for {
		old := b.view.Load()
		if old != nil && old.Doc.Version >= doc.Version {
			return false
		}
		if b.view.CompareAndSwap(old, fresh) {
			break
		}
	}
	if b.OnChange != nil {
		b.OnChange(fresh)
	}
	return true
}

// pollEvery is the time between two reads of the document's row.
const pollEvery = 2 * clock.Second

// Follow reads the document from the table until ctx ends.
func (b *Book) Follow(ctx context.Context, c clock.Clock, t Table, log *zap.Logger) {
	b.poll(ctx, t, log)
	c.Every(ctx, pollEvery, func(ctx context.Context) { b.poll(ctx, t, log) })
}

func (b *Book) poll(ctx context.Context, t Table, log *zap.Logger) {
	doc, err := Fetch(ctx, t)
	if err != nil {
		log.Warn("prof: the document can't be read", zap.Error(err))
		return
	}
	if doc != nil && b.Offer(doc) {
		log.Info("prof: a new version is in force", zap.Int64("version", doc.Version))
	}
}

// Fetch reads the document from the table; nil means that there is none.
func Fetch(ctx context.Context, t Table) (*core.Document, error) {
	rows, err := t.Read(ctx, Key)
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	doc := &core.Document{}
	if err := json.Unmarshal(rows[0].Value, doc); err != nil {
		return nil, codes.Wrap(codes.BadDocument, err, "row %s", Key)
	}
	return doc, nil
}
