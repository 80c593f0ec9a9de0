package prof

import (
	"context"
	"encoding/hex"
	"time"

	"crypto/rand"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/check"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// Publisher publishes documents and reads the former ones. Table is needed.
type Publisher struct {
	Table Table
	Clock clock.Clock
	// Book, if not nil, takes over what this desk publishes at once.
	Book *Book
}

// Order is one order to publish.
type Order struct {
	// Expected is the version that the operator has seen; zero stands for
	// none yet.
	Expected int64
	Doc      core.Document
	// By names the operator.
	By string
}

// sends bounds the transactions of one order whose answers were lost.
const sends = 5

// resendAfter is the pause before a transaction is sent again.
const resendAfter clock.Millis = 100

// Publish puts a document into the table as the version after the expected
// one, and returns its number. Its errors are [codes.BadDocument] with every
// fault; [codes.Conflict] if another version came first, with the present
// number in the message; [codes.PlatformDown] if nothing was written; and
// [codes.PublishUnsure] if the outcome could not be learnt.
//
// A transaction whose answer was lost is sent again as it was: it holds only
// on the expected version, so it can't take effect twice, and once the table
// answers it is known whether one of them did.
func (d *Publisher) Publish(ctx context.Context, o Order) (int64, error) {
	if err := check.Document(&o.Doc); err != nil {
		return 0, err
	}
	o.Doc.Version = o.Expected + 1
	stamp := Stamp{Version: o.Doc.Version, Token: newToken(), By: o.By, At: time.Now().UnixMilli()}
	rows, err := d.rows(ctx, stamp.Version)
	if err != nil {
		// A read changes nothing, however it failed.
		return 0, codes.From(err).WithRun(codes.NotRun)
	}
	if err := d.expect(rows, o.Expected); err != nil {
		return 0, err
	}
	all, err := writes(&o.Doc, stamp, rows)
	if err != nil {
		return 0, err
	}
	if err := d.send(ctx, all, stamp); err != nil {
		return 0, err
	}
	if d.Book != nil {
		d.Book.Offer(&o.Doc)
	}
	return stamp.Version, nil
}

// rows reads all rows that publishing the version touches.
func (d *Publisher) rows(ctx context.Context, version int64) ([]core.Row, error) {
	return d.Table.Read(ctx, Key, StampKey, historyKey(version), historyKey(version-maxHistory))
}

// expect compares the version that stands with the expected one.
func (d *Publisher) expect(rows []core.Row, expected int64) error {
	var now core.Document
	if err := decode(find(rows, Key), &now); err != nil {
		return err
	}
	if now.Version != expected {
		return conflict(now.Version)
	}
	return nil
}

func conflict(version int64) error {
	return codes.New(codes.Conflict, "version %d is published", version)
}

// send makes the transaction until its outcome is known.
func (d *Publisher) send(ctx context.Context, all []core.Write, stamp Stamp) error {
	var lost error
	for range sends {
		done, err := d.Table.Commit(ctx, all...)
		switch {
		case err == nil && done.OK():
			return nil
		case err == nil:
			return d.settle(ctx, stamp, lost)
		case codes.From(err).Run == codes.NotRun && lost == nil:
			return err
		case codes.From(err).Run != codes.NotRun:
			lost = err
		}
		if sleep := d.Clock.Sleep(ctx, resendAfter); sleep != nil {
			break
		}
	}
	return codes.Wrap(codes.PublishUnsure, lost, "version %d", stamp.Version)
}

// settle finds out whose version stands after a conflict: an earlier send of
// this order, whose answer was lost, or another operator's.
func (d *Publisher) settle(ctx context.Context, stamp Stamp, lost error) error {
	for range sends {
		rows, err := d.Table.Read(ctx, Key, historyKey(stamp.Version))
		if err == nil {
			return d.whose(rows, stamp)
		}
		lost = errors.Join(lost, err)
		if sleep := d.Clock.Sleep(ctx, resendAfter); sleep != nil {
			break
		}
	}
	return codes.Wrap(codes.PublishUnsure, lost, "version %d", stamp.Version)
}

func (d *Publisher) whose(rows []core.Row, stamp Stamp) error {
	var past Past
	if err := decode(find(rows, historyKey(stamp.Version)), &past); err != nil {
		return err
	}
	if past.Token == stamp.Token {
		return nil
	}
	var now core.Document
	if err := decode(find(rows, Key), &now); err != nil {
		return err
	}
	return conflict(now.Version)
}

// Current reads the document that stands in the table; nil means that there
// is none.
func (d *Publisher) Current(ctx context.Context) (*core.Document, error) {
	return Fetch(ctx, d.Table)
}

// History reads up to limit former versions, the newest first. The version in
// force is the first of them.
func (d *Publisher) History(ctx context.Context, limit int) ([]Past, error) {
	if limit <= 0 || limit > maxHistory {
		limit = maxHistory
	}
	rows, err := d.Table.List(ctx, historyPrefix, "", 2*maxHistory)
	if err != nil {
		return nil, err
	}
	var all []Past
	for i := len(rows) - 1; i >= 0 && len(all) < limit; i-- {
		var p Past
		if err := decode(rows[i], &p); err != nil {
			return nil, err
		}
		all = append(all, p)
	}
	return all, nil
}

// tokenBytes is the length of a token before it is written in hexadecimal.
const tokenBytes = 12

func newToken() string {
	var b [tokenBytes]byte
	// crypto/rand.Read never returns an error; it ends the program instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
