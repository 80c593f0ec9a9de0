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
	// Confirm records that a request sent at that instant was answered, with no
	// version above the active one.
	Confirm(sentAt clock.Millis)
}

// Updater keeps an [ActiveDocument] up to date from the table and from the
// versions that peers report. Active and Table are required.
type Updater struct {
	Active *ActiveDocument
	Table  Table
	// Peers and Freshness are optional.
	Peers     Peers
	Freshness Freshness
	// PeersAsked, if not nil, is closed once every peer has been queried for
	// its version. An entry without a document waits for it, so that it starts
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

// ReportVersion records that the entry at the address peer has activated the
// version.
func (u *Updater) ReportVersion(version int64, peer string) {
	if version <= u.Active.Version() {
		return
	}
	u.reported.Report(version, peer)
}

// pollInterval is the interval between reads of the stamp. Peers usually report a
// new version earlier; polling covers entries that no peer reaches.
const pollInterval = 3 * clock.Second

// Run keeps the active document up to date until ctx ends.
func (u *Updater) Run(ctx context.Context) {
	for ctx.Err() == nil {
		u.Once(ctx)
		u.wait(ctx)
	}
}

// wait returns when the next poll is due. If a peer reports a newer version,
// it returns after a random part of the spread; an entry without a document
// doesn't delay.
func (u *Updater) wait(ctx context.Context) {
	if u.reported.Wait(ctx, u.Clock, pollInterval) && u.Spread != nil && u.Active.Version() > 0 {
		_ = u.Clock.Sleep(ctx, rand.N(u.Spread()+1))
	}
}

// Once polls the table, and then reads the document of the peer with the
// highest reported version if that is higher still.
func (u *Updater) Once(ctx context.Context) {
	if err := u.poll(ctx); err != nil && ctx.Err() == nil {
		u.warn("pubdoc: reading the table failed", zap.Error(err))
	}
	u.waitForPeers(ctx)
	version, peer := u.reported.Get()
	if u.Peers == nil || version <= u.Active.Version() {
		return
	}
	doc, err := u.Peers.Document(ctx, peer)
	if err != nil {
		u.warn("pubdoc: reading a peer's document failed", zap.String("peer", peer), zap.Error(err))
		return
	}
	u.apply(doc, "peer")
}

// waitForPeers waits for PeersAsked while no document is active.
func (u *Updater) waitForPeers(ctx context.Context) {
	if u.Active.Version() > 0 || u.PeersAsked == nil {
		return
	}
	select {
	case <-u.PeersAsked:
	case <-ctx.Done():
	}
}

// poll reads the stamp, and the document if the stamp is missing or its
// version is above the active one.
func (u *Updater) poll(ctx context.Context) error {
	sentAt := u.Clock.Now()
	rows, err := u.Table.Read(ctx, StampKey)
	if err != nil {
		return err
	}
	var stamp Stamp
	if err := decode(findRow(rows, StampKey), &stamp); err != nil {
		return err
	}
	if stamp.Version == 0 || stamp.Version > u.Active.Version() {
		doc, err := ReadDocument(ctx, u.Table)
		if err != nil || doc == nil {
			return err
		}
		u.apply(doc, "table")
		stamp.Version = doc.Version
	}
	u.checkTableVersion(stamp.Version, sentAt)
	return nil
}

// checkTableVersion compares the table's version with the active one: it
// confirms freshness, or records a violation if the table has reverted to a
// lower version.
func (u *Updater) checkTableVersion(version int64, sentAt clock.Millis) {
	own := u.Active.Version()
	if version <= own && u.Freshness != nil {
		u.Freshness.Confirm(sentAt)
	}
	// A read that was sent before the version became active may return the
	// version before it.
	if version >= own || sentAt < u.Active.ActiveSince() || u.revertLogged == version {
		return
	}
	u.revertLogged = version
	note := fmt.Sprintf("the table has version %d, version %d is in force", version, own)
	u.Meter.RecordViolation(meter.NeverReverts, note)
	u.warn("pubdoc: " + note)
}

// apply activates doc if its version is higher, and logs where it came from.
func (u *Updater) apply(doc *core.Document, from string) {
	if u.Active.Update(doc) && u.Log != nil {
		u.Log.Info("pubdoc: activated a new version",
			zap.Int64("version", doc.Version), zap.String("from", from))
	}
}

// warn logs a warning if Log is set.
func (u *Updater) warn(text string, fields ...zap.Field) {
	if u.Log != nil {
		u.Log.Warn(text, fields...)
	}
}
