package pubdoc

import (
	"context"
	"fmt"
	"math/rand/v2"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/notify"
)

// Peers reads the active document of another entry.
type Peers interface {
	Document(ctx context.Context, peer string) (*core.Document, error)
}

// Freshness records when this entry was last confirmed to be up to date.
type Freshness interface {
	// Confirm records that a request sent at that instant was answered, and that
	// the answer contained no version above the active one.
	Confirm(sentAt clock.Millis)
}

// Updater keeps a [Book] up to date from the table and from the versions that
// peers report. Book and Table are required.
type Updater struct {
	Active *ActiveDocument
	Table  Table
	// Peers and Freshness are optional.
	Peers     Peers
	Freshness Freshness
	// Met, if not nil, is closed once every peer has been asked for its
	// version. An entry without a document waits for it, so that it starts
	// with the highest version of any peer even if the table can't be read.
	PeersAsked <-chan struct{}
	// Spread, if not nil, returns the period over which the entries spread
	// their reads of a new version, so that they don't all read at once.
	Spread func() clock.Millis
	Clock  clock.Clock
	Log    *zap.Logger
	Meter  *meter.Registry

	// reported holds the highest version that a peer has reported, and
	// revertLogged the lower table version that was logged last.
	reported     notify.HighestVersion
	revertLogged int64
}

// ReportVersion records that the entry at the address peer has the given version
// active.
func (f *Updater) ReportVersion(version int64, peer string) {
	if version <= f.Active.Version() {
		return
	}
	f.reported.Report(version, peer)
}

// pollEvery is the interval between reads of the stamp. Peers usually report a
// new version earlier; polling covers entries that no peer reaches.
const pollEvery = 3 * clock.Second

// Run keeps the book up to date until ctx ends.
func (f *Updater) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.Once(ctx)
		f.wait(ctx)
	}
}

// wait returns when the next poll is due. If a peer reports a newer version,
// it returns after a random part of the spread; an entry without a document
// doesn't delay.
func (f *Updater) wait(ctx context.Context) {
	if f.reported.Wait(ctx, f.Clock, pollEvery) && f.Spread != nil && f.Active.Version() > 0 {
		_ = f.Clock.Sleep(ctx, rand.N(f.Spread()+1))
	}
}

// Once polls the table, and then reads the document of the peer with the
// highest reported version if that is higher still.
func (f *Updater) Once(ctx context.Context) {
	if err := f.poll(ctx); err != nil && ctx.Err() == nil {
		f.warn("pubdoc: reading the table failed", zap.Error(err))
	}
	f.waitForPeers(ctx)
	version, peer := f.reported.Get()
	if f.Peers == nil || version <= f.Active.Version() {
		return
	}
	doc, err := f.Peers.Document(ctx, peer)
	if err != nil {
		f.warn("pubdoc: reading a peer's document failed", zap.String("peer", peer), zap.Error(err))
		return
	}
	f.apply(doc, "peer")
}

// waitForPeers waits for Met while no document is active.
func (f *Updater) waitForPeers(ctx context.Context) {
	if f.Active.Version() > 0 || f.PeersAsked == nil {
		return
	}
	select {
	case <-f.PeersAsked:
	case <-ctx.Done():
	}
}

// poll reads the stamp, and the document if the stamp is missing or its
// version is above the active one.
func (f *Updater) poll(ctx context.Context) error {
	sentAt := f.Clock.Now()
	rows, err := f.Table.Read(ctx, StampKey)
	if err != nil {
		return err
	}
	var stamp Stamp
	if err := decode(findRow(rows, StampKey), &stamp); err != nil {
		return err
	}
	if stamp.Version == 0 || stamp.Version > f.Active.Version() {
		doc, err := ReadDocument(ctx, f.Table)
		if err != nil || doc == nil {
			return err
		}
		f.apply(doc, "table")
		stamp.Version = doc.Version
	}
	f.checkTableVersion(stamp.Version, sentAt)
	return nil
}

// checkTableVersion compares the table's version with the active one: it
// confirms freshness, or records a violation if the table has reverted to a
// lower version.
func (f *Updater) checkTableVersion(version int64, sentAt clock.Millis) {
	own := f.Active.Version()
	if version <= own && f.Freshness != nil {
		f.Freshness.Confirm(sentAt)
	}
	// A read that was sent before the version became active may return the
	// version before it.
	if version >= own || sentAt < f.Active.ActiveSince() || f.revertLogged == version {
		return
	}
	f.revertLogged = version
	note := fmt.Sprintf("the table has version %d, version %d is in force", version, own)
	f.Meter.RecordViolation(meter.NeverReverts, note)
	f.warn("pubdoc: " + note)
}

// apply activates doc if its version is higher, and logs where it came from.
func (f *Updater) apply(doc *core.Document, from string) {
	if f.Active.Update(doc) && f.Log != nil {
		f.Log.Info("pubdoc: activated a new version",
			zap.Int64("version", doc.Version), zap.String("from", from))
	}
}

func (f *Updater) warn(text string, fields ...zap.Field) {
	if f.Log != nil {
		f.Log.Warn(text, fields...)
	}
}
