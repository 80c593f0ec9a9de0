package drain

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// Keys of the rows.
const (
	// Prefix is the key prefix of all rows of this package.
	Prefix = "drain/"
	// versionKey is the key of the row that holds the version of the drains, in
	// decimal digits.
	versionKey = Prefix + "version"
)

// maxNameBytes is the maximum length of the name of a target.
const maxNameBytes = 128

// maxTries is the maximum number of transactions per change. A transaction is
// repeated after a conflict with another operator's change, and after its
// answer was lost.
const maxTries = 6

// retryAfter is the pause after a transaction whose answer was lost.
const retryAfter clock.Millis = 50

// Drain sets a drain. Draining a drained target is not an error. The error has
// the code [codes.BadRequest], [codes.PlatformDown], [codes.Conflict] or, if
// the outcome is unknown, [codes.PublishUnsure].
func (a *ActiveDrains) Drain(ctx context.Context, d Drain) error {
	if d.At == 0 {
		d.At = time.Now().UnixMilli()
	}
	value, err := json.Marshal(d)
	if err != nil {
		return codes.Wrap(codes.Internal, err, "drain")
	}
	return a.commitWithRetry(ctx, d, value)
}

// Undrain removes a drain. Removing a drain that doesn't exist is not an error.
// The other errors are those of [ActiveDrains.Drain].
func (a *ActiveDrains) Undrain(ctx context.Context, kind TargetKind, name string) error {
	return a.commitWithRetry(ctx, Drain{Kind: kind, Name: name}, nil)
}

// validate checks the kind and the length of the name.
func (d Drain) validate() error {
	switch d.Kind {
	case Upstream, Instance, Centre:
	default:
		return codes.New(codes.BadRequest, "field kind: want upstream, instance or centre")
	}
	if d.Name == "" || len(d.Name) > maxNameBytes {
		return codes.New(codes.BadRequest, "field name: want 1 to %d bytes", maxNameBytes)
	}
	return nil
}

// key returns the key of the row of d.
func (d Drain) key() string {
	return Prefix + string(d.Kind) + "/" + d.Name
}

// commitWithRetry sets the row of d to value, or deletes it if value is nil,
// and then refreshes the active drains.
func (a *ActiveDrains) commitWithRetry(ctx context.Context, d Drain, value []byte) error {
	if err := d.validate(); err != nil {
		return err
	}
	// unknownErr is the last error after which a transaction may have been
	// committed.
	var unknownErr error
	for range maxTries {
		done, err := a.tryCommit(ctx, d.key(), value)
		if done {
			return a.Refresh(ctx)
		}
		if err == nil {
			continue
		}
		if codes.From(err).Run == codes.NotRun && unknownErr == nil {
			return err
		}
		unknownErr = err
		if a.Clock.Sleep(ctx, retryAfter) != nil {
			break
		}
	}
	if unknownErr == nil {
		return codes.New(codes.Conflict, "%s: too many concurrent changes of the drains", d.key())
	}
	return codes.Wrap(codes.PublishUnsure, unknownErr, "%s", d.key())
}

// tryCommit reads the drain's row and the version row, and commits one
// transaction that changes both. It is done without a commit if the row is
// already as wanted, for example after an earlier try whose answer was lost.
func (a *ActiveDrains) tryCommit(ctx context.Context, key string, value []byte) (done bool, err error) {
	rows, err := a.Table.Read(ctx, key, versionKey)
	if err != nil {
		// A failed read changes nothing.
		return false, codes.From(err).WithRun(codes.NotRun)
	}
	row, versionRow := findRow(rows, key), findRow(rows, versionKey)
	if alreadySet(row, value) {
		return true, nil
	}
	version, err := parseVersion(versionRow)
	if err != nil {
		return false, err
	}
	committed, err := a.Table.Commit(ctx,
		core.Write{Key: key, Value: value, Expect: row.Revision, Delete: value == nil},
		core.Write{Key: versionKey, Value: strconv.AppendInt(nil, version+1, 10), Expect: versionRow.Revision},
	)
	return err == nil && committed.OK(), err
}

// alreadySet reports whether the row exists, or doesn't exist for a nil value,
// as wanted. The value isn't compared: a second drain of a target keeps the
// name of the operator who drained it first.
func alreadySet(row core.Row, value []byte) bool {
	return (row.Revision == 0) == (value == nil)
}

// findRow returns the row with the key, or one with revision zero if it doesn't
// exist.
func findRow(rows []core.Row, key string) core.Row {
	for _, r := range rows {
		if r.Key == key {
			return r
		}
	}
	return core.Row{Key: key}
}

// parseVersion parses the value of the version row. A missing row means zero.
func parseVersion(row core.Row) (int64, error) {
	if row.Revision == 0 {
		return 0, nil
	}
	n, err := strconv.ParseInt(string(bytes.TrimSpace(row.Value)), 10, 64)
	if err != nil {
		return 0, codes.Wrap(codes.Internal, err, "row %s", row.Key)
	}
	return n, nil
}
