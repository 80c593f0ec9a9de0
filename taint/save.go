package taint

import (
	"context"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
)

// Store keeps quarantined parts. All errors mean that the call may be repeated.
type Store interface {
	// Tainted returns the suspects that were saved, with their present ages.
	Tainted(ctx context.Context) ([]Suspect, error)
	// SaveTainted saves a suspect in place of an earlier one of its part.
	SaveTainted(ctx context.Context, s Suspect) error
	// DeleteTainted deletes what was saved of a part.
	DeleteTainted(ctx context.Context, part uint64) error
}

// storeBackoff is the pause after a failed call of the store.
var storeBackoff = clock.Backoff{Initial: 1 * clock.Second, Max: 16 * clock.Second}

// Run loads the saved quarantines, saves new ones and removes expired suspects, until ctx
// ends.
func (t *Table) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.Clock.Every(ctx, sweepInterval, t.sweep)
	}()
	forgotten := make(chan struct{})
	go func() {
		defer close(forgotten)
		t.Clock.Every(ctx, goodTime/2, t.forgetAnswered)
	}()
	if t.Store != nil {
		t.syncStore(ctx)
	}
	<-done
	<-forgotten
}

// syncStore loads the saved quarantines and saves new ones until ctx ends.
func (t *Table) syncStore(ctx context.Context) {
	for n := 0; !t.Fresh; n++ {
		list, err := t.Store.Tainted(ctx)
		if err == nil {
			t.announce(t.Merge(list))
			t.deleteExpired(list)
			break
		}
		t.log().Warn("taint: loading the quarantined parts failed", zap.Error(err))
		if t.Clock.Backoff(ctx, storeBackoff, n) != nil {
			return
		}
	}
	for n := 0; ctx.Err() == nil; {
		if err := t.save(ctx); err != nil {
			t.log().Warn("taint: saving a quarantined part failed", zap.Error(err))
			if t.Clock.Backoff(ctx, storeBackoff, n) != nil {
				return
			}
			n++
			continue
		}
		n = 0
		select {
		case <-ctx.Done():
		case <-t.saving.C():
		}
	}
}

// deleteExpired has the store delete what was saved and no longer counts, since the entry
// that saved it may have gone.
func (t *Table) deleteExpired(saved []Suspect) {
	for _, s := range saved {
		if !s.valid(t.rules()) {
			t.markUnsaved(s.Part)
		}
	}
}

// markUnsaved has the store told of a part.
func (t *Table) markUnsaved(part uint64) {
	if t.Store != nil {
		t.unsaved.Set(part, true)
		t.saving.Send()
	}
}

// save tells the store of the parts that it hasn't been told of.
func (t *Table) save(ctx context.Context) error {
	var parts []uint64
	t.unsaved.Each(func(part uint64, _ bool) bool {
		parts = append(parts, part)
		return true
	})
	for _, part := range parts {
		// A change from here on is saved again.
		t.unsaved.Delete(part)
		var err error
		if r, ok := t.suspects.Get(part); ok && r.verdict != observed {
			err = t.Store.SaveTainted(ctx, r.Aged(t.Clock.Now()-r.at))
		} else {
			err = t.Store.DeleteTainted(ctx, part)
		}
		if err != nil {
			t.unsaved.Set(part, true)
			return err
		}
		t.written.Set(part, t.Clock.Now())
	}
	return nil
}

// writtenTime is how long the writes to the store are remembered. A copy from which the store
// is restored is some seconds old.
const writtenTime = 1 * clock.Minute

// SaveAgain tells the store once more what it was told by this entry, since it was restored
// from an older copy: the quarantines and trials whose last crash this entry has met, and
// what it wrote or deleted within writtenTime. Nothing is lifted because the store lacks it.
func (t *Table) SaveAgain() {
	if t.Store == nil {
		return
	}
	parts := 0
	for _, r := range t.suspects.Values() {
		if r.verdict != observed && len(r.Crashes) > 0 && r.Crashes[0].Entry == t.Self {
			t.markUnsaved(r.Part)
			parts++
		}
	}
	t.written.Each(func(part uint64, _ clock.Millis) bool {
		t.markUnsaved(part)
		parts++
		return true
	})
	if parts > 0 {
		t.log().Info("taint: writing to the restored store again", zap.String("of", t.kind()), zap.Int("rows", parts))
	}
}

// forgetWritten forgets the writes that are older than writtenTime.
func (t *Table) forgetWritten(now clock.Millis) {
	t.written.Each(func(_ uint64, at clock.Millis) bool { return now-at < writtenTime })
}
