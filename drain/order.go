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

// The rows of the drains.
const (
	// Prefix is that of all rows of this package.
	Prefix = "drain/"
	// versionKey is the row whose value is the number of the state, in
	// decimal digits.
	versionKey = Prefix + "version"
)

// maxNameBytes bounds the name of what is drained.
const maxNameBytes = 128

// tries bounds the transactions of one order: another operator's order that
// comes between is no fault, and an order whose answer was lost is sent again.
const tries = 6

// retryAfter is the pause after a transaction whose answer was lost.
const retryAfter clock.Millis = 50

// Drain puts d in force. To drain what is drained already is no error. Its
// error is [codes.BadRequest], [codes.PlatformDown] or, where the outcome is
// not known, [codes.PublishUnsure].
func (b *Book) Drain(ctx context.Context, d Drain) error {
	if d.At == 0 {
		d.At = time.Now().UnixMilli()
	}
	value, err := json.Marshal(d)
	if err != nil {
		return codes.Wrap(codes.Internal, err, "drain")
	}
	return b.order(ctx, d, value)
}

// Undrain lifts the drain of the named thing. To lift one that isn't there is
// no error; otherwise as [Book.Drain].
func (b *Book) Undrain(ctx context.Context, kind Kind, name string) error {
	return b.order(ctx, Drain{Kind: kind, Name: name}, nil)
}

func (d Drain) check() error {
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

func (d Drain) key() string {
	return Prefix + string(d.Kind) + "/" + d.Name
}

// order brings the drain's row to value, where nil stands for no row, and
// takes the new state over at once.
func (b *Book) order(ctx context.Context, d Drain, value []byte) error {
	if err := d.check(); err != nil {
		return err
	}
	var unsure error
	for range tries {
		done, err := b.try(ctx, d.key(), value)
		if done {
			return b.Refresh(ctx)
		}
		if err == nil {
			continue
		}
		if codes.From(err).Run == codes.NotRun && unsure == nil {
			return err
		}
		unsure = err
		if b.Clock.Sleep(ctx, retryAfter) != nil {
			break
		}
	}
	if unsure == nil {
		return codes.New(codes.Conflict, "%s: other drains come in between", d.key())
	}
	return codes.Wrap(codes.PublishUnsure, unsure, "%s", d.key())
}

// try reads both rows and makes one transaction. It is done if the row stands
// as wanted, be it by an earlier try whose answer was lost.
func (b *Book) try(ctx context.Context, key string, value []byte) (done bool, err error) {
	rows, err := b.Table.Read(ctx, key, versionKey)
	if err != nil {
		// A read changes nothing, however it failed.
		return false, codes.From(err).WithRun(codes.NotRun)
	}
	row, number := find(rows, key), find(rows, versionKey)
	if stands(row, value) {
		return true, nil
	}
	version, err := parseVersion(number)
	if err != nil {
		return false, err
	}
	committed, err := b.Table.Commit(ctx,
		core.Write{Key: key, Value: value, Expect: row.Revision, Delete: value == nil},
		core.Write{Key: versionKey, Value: strconv.AppendInt(nil, version+1, 10), Expect: number.Revision},
	)
	return err == nil && committed.OK(), err
}

// stands reports whether the row is as wanted. Who drained first is kept.
func stands(row core.Row, value []byte) bool {
	return (row.Revision == 0) == (value == nil)
}

func find(rows []core.Row, key string) core.Row {
	for _, r := range rows {
		if r.Key == key {
			return r
		}
	}
	return core.Row{Key: key}
}

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
