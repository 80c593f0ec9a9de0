package prof

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

// Peers reads the document that another entry has in force.
type Peers interface {
	Document(ctx context.Context, peer string) (*core.Document, error)
}

// Freshness takes note of when this entry was last known to be up to date.
type Freshness interface {
	// Fresh says that a question asked at that instant was answered, and the
	// answer showed nothing newer than what is in force here.
	Fresh(asked clock.Millis)
}

// Follower keeps a [Book] up to date from the table and from the reports of
// peers. Book and Table are needed.
type Follower struct {
	Book  *Book
	Table Table
	// Peers and Freshness may be nil.
	Peers     Peers
	Freshness Freshness
	// Met, if not nil, is closed once all peers have been asked for their
	// versions. An entry without a document that can't read the table waits
	// for it, so that it starts with the highest version that any has.
	Met <-chan struct{}
	// Spread, if not nil, gives the time over which the entries spread their
	// reads of a new version, so that not all read at the same moment.
	Spread func() clock.Millis
	Clock  clock.Clock
	Log    *zap.Logger
	Meter  *meter.Set

	updates notify.Latest
	warned  int64
}

// News says that the entry at the peer address has that version in force.
func (f *Follower) Newer(version int64, peer string) {
	if version <= f.Book.Version() {
		return
	}
	f.updates.Put(version, peer)
}

// pollEvery is the time between two reads of the stamp. News of peers come
// sooner; the poll is for entries that none of them reaches.
const pollEvery = 3 * clock.Second

// Run follows the table and the reports until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.Once(ctx)
		f.wait(ctx)
	}
}

// wait ends when the next read is due, or with a report and a part of the spread.
func (f *Follower) wait(ctx context.Context) {
	if f.updates.Wait(ctx, f.Clock, pollEvery) && f.Spread != nil && f.Book.Version() > 0 {
		_ = f.Clock.Sleep(ctx, rand.N(f.Spread()+1))
	}
}

// Once reads the table, and then the peer with the highest version if that is
// higher still.
func (f *Follower) Once(ctx context.Context) {
	if err := f.poll(ctx); err != nil && ctx.Err() == nil {
		f.log("prof: the table can't be read", zap.Error(err))
	}
	f.meet(ctx)
	version, peer := f.updates.Get()
	if f.Peers == nil || version <= f.Book.Version() {
		return
	}
	doc, err := f.Peers.Document(ctx, peer)
	if err != nil {
		f.log("prof: a peer's document can't be read", zap.String("peer", peer), zap.Error(err))
		return
	}
	f.offer(doc, "peer")
}

func (f *Follower) meet(ctx context.Context) {
	if f.Book.Version() > 0 || f.Met == nil {
		return
	}
	select {
	case <-f.Met:
	case <-ctx.Done():
	}
}

// poll reads the stamp, and the document if the stamp is higher or missing.
func (f *Follower) poll(ctx context.Context) error {
	asked := f.Clock.Now()
	rows, err := f.Table.Read(ctx, StampKey)
	if err != nil {
		return err
	}
	var stamp Stamp
	if err := decode(find(rows, StampKey), &stamp); err != nil {
		return err
	}
	if stamp.Version == 0 || stamp.Version > f.Book.Version() {
		doc, err := Fetch(ctx, f.Table)
		if err != nil || doc == nil {
			return err
		}
		f.offer(doc, "table")
		stamp.Version = doc.Version
	}
	f.compare(stamp.Version, asked)
	return nil
}

// compare holds the table's version against the one in force.
func (f *Follower) compare(version int64, asked clock.Millis) {
	own := f.Book.Version()
	if version <= own && f.Freshness != nil {
		f.Freshness.Fresh(asked)
	}
	// A read that was asked before the version came in force may be late.
	if version >= own || asked < f.Book.Since() || f.warned == version {
		return
	}
	f.warned = version
	note := fmt.Sprintf("the table has version %d, version %d is in force", version, own)
	f.Meter.Violated(meter.NeverReverts, note)
	f.log("prof: " + note)
}

func (f *Follower) offer(doc *core.Document, from string) {
	if f.Book.Offer(doc) && f.Log != nil {
		f.Log.Info("prof: a new version is in force",
			zap.Int64("version", doc.Version), zap.String("from", from))
	}
}

func (f *Follower) log(text string, fields ...zap.Field) {
	if f.Log != nil {
		f.Log.Warn(text, fields...)
	}
}
