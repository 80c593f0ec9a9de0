package pubdoc

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

// Publisher publishes documents and reads their history. Table is required.
type Publisher struct {
	Table Table
	Clock clock.Clock
	// Active, if not nil, receives each published document at once.
	Active *ActiveDocument
}

// PublishRequest is a request to publish a document.
type PublishRequest struct {
	// Expected is the version that the operator's changes are based on; zero
	// means that none has been published.
	Expected int64
	Doc      core.Document
	// By is the operator's name.
	By string
}

// maxAttempts bounds how often a transaction whose outcome is unknown is sent,
// and how often its result is read back.
const maxAttempts = 5

// retryPause is the pause between two attempts.
const retryPause clock.Millis = 100

// Publish writes the document to the table as the version after the expected
// one, and returns the new version. It returns [codes.BadDocument] with all
// faults of the document, [codes.Conflict] with the current version in its
// message if another version was published first, [codes.PlatformDown] if
// nothing was written, and [codes.PublishUnsure] if the outcome is unknown.
//
// A transaction whose response was lost is sent again unchanged. It requires
// the expected version, so it can't take effect twice. The next response shows
// whether an earlier attempt took effect.
func (p *Publisher) Publish(ctx context.Context, o PublishRequest) (int64, error) {
	if err := check.Document(&o.Doc); err != nil {
		return 0, err
	}
	o.Doc.Version = o.Expected + 1
	stamp := Stamp{Version: o.Doc.Version, Token: newToken(), By: o.By, At: time.Now().UnixMilli()}
	rows, err := p.readRows(ctx, stamp.Version)
	if err != nil {
		// A failed read has changed nothing.
		return 0, codes.From(err).WithRun(codes.NotRun)
	}
	if err := p.checkExpected(rows, o.Expected); err != nil {
		return 0, err
	}
	all, err := publishWrites(&o.Doc, stamp, rows)
	if err != nil {
		return 0, err
	}
	if err := p.commit(ctx, all, stamp); err != nil {
		return 0, err
	}
	if p.Active != nil {
		p.Active.Update(&o.Doc)
	}
	return stamp.Version, nil
}

// readRows reads all rows that publishing the version writes or deletes.
func (p *Publisher) readRows(ctx context.Context, version int64) ([]core.Row, error) {
	return p.Table.Read(ctx, DocumentKey, StampKey, historyKey(version), historyKey(version-maxHistory))
}

// checkExpected returns a conflict error unless the table has the expected
// version.
func (p *Publisher) checkExpected(rows []core.Row, expected int64) error {
	var current core.Document
	if err := decode(findRow(rows, DocumentKey), &current); err != nil {
		return err
	}
	if current.Version != expected {
		return conflictError(current.Version)
	}
	return nil
}

// conflictError returns the error of a request whose expected version is not the
// current one, version.
func conflictError(version int64) error {
	return codes.New(codes.Conflict, "version %d is published", version)
}

// commit sends the transaction until its outcome is known or the attempts are
// used up.
func (p *Publisher) commit(ctx context.Context, all []core.Write, stamp Stamp) error {
	var unknownErr error
	for range maxAttempts {
		done, err := p.Table.Commit(ctx, all...)
		switch {
		case err == nil && done.OK():
			return nil
		case err == nil:
			return p.resolveConflict(ctx, stamp, unknownErr)
		case codes.From(err).Run == codes.NotRun && unknownErr == nil:
			return err
		case codes.From(err).Run != codes.NotRun:
			unknownErr = err
		}
		if sleepErr := p.Clock.Sleep(ctx, retryPause); sleepErr != nil {
			break
		}
	}
	return codes.Wrap(codes.PublishUnsure, unknownErr, "version %d", stamp.Version)
}

// resolveConflict determines after a conflict who wrote the version: an
// earlier attempt of this request, whose response was lost, or another
// operator.
func (p *Publisher) resolveConflict(ctx context.Context, stamp Stamp, unknownErr error) error {
	for range maxAttempts {
		rows, err := p.Table.Read(ctx, DocumentKey, historyKey(stamp.Version))
		if err == nil {
			return p.checkWriter(rows, stamp)
		}
		unknownErr = errors.Join(unknownErr, err)
		if sleepErr := p.Clock.Sleep(ctx, retryPause); sleepErr != nil {
			break
		}
	}
	return codes.Wrap(codes.PublishUnsure, unknownErr, "version %d", stamp.Version)
}

// checkWriter returns nil if the version's token shows that this request wrote
// it, and a conflict error otherwise.
func (p *Publisher) checkWriter(rows []core.Row, stamp Stamp) error {
	var entry HistoryEntry
	if err := decode(findRow(rows, historyKey(stamp.Version)), &entry); err != nil {
		return err
	}
	if entry.Token == stamp.Token {
		return nil
	}
	var current core.Document
	if err := decode(findRow(rows, DocumentKey), &current); err != nil {
		return err
	}
	return conflictError(current.Version)
}

// Current reads the published document. It returns nil if there is none.
func (p *Publisher) Current(ctx context.Context) (*core.Document, error) {
	return ReadDocument(ctx, p.Table)
}

// History returns up to limit versions, the newest first. The current version
// is the first of them.
func (p *Publisher) History(ctx context.Context, limit int) ([]HistoryEntry, error) {
	if limit <= 0 || limit > maxHistory {
		limit = maxHistory
	}
	rows, err := p.Table.List(ctx, historyPrefix, "", 2*maxHistory)
	if err != nil {
		return nil, err
	}
	var all []HistoryEntry
	for i := len(rows) - 1; i >= 0 && len(all) < limit; i-- {
		var entry HistoryEntry
		if err := decode(rows[i], &entry); err != nil {
			return nil, err
		}
		all = append(all, entry)
	}
	return all, nil
}

// tokenBytes is the length of a token before hexadecimal encoding.
const tokenBytes = 12

// newToken returns a random token that identifies one publish request.
func newToken() string {
	var b [tokenBytes]byte
	// crypto/rand.Read never returns an error; it ends the program instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
