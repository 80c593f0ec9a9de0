package pubdoc

import (
	"fmt"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// Keys of the rows that publishing writes, all in one transaction.
const (
	// DocumentKey is the row of the current document.
	DocumentKey = "prof/document"
	// StampKey is the small row with the version of the document under
	// [DocumentKey]. Entries poll it instead of the document.
	StampKey = "prof/stamp"
	// historyPrefix is the key prefix of the history rows.
	historyPrefix = "prof/history/"
)

// maxHistory bounds the versions in the history.
const maxHistory = 50

// maxDocumentBytes bounds each stored value, so that it fits into a row of the
// table.
const maxDocumentBytes = 900 << 10

// Stamp identifies the version in the table and the publish request that wrote
// it.
type Stamp struct {
	Version int64 `json:"version"`
	// Token is unique to one publish request. It shows the writer after a lost
	// response whether the version is its own.
	Token string `json:"token,omitempty"`
	// By is the operator's name, and At the wall time in milliseconds since
	// 1970. Both are informational.
	By string `json:"by,omitempty"`
	At int64  `json:"at,omitempty"`
}

// HistoryEntry is one version of the history.
type HistoryEntry struct {
	Stamp
	Doc core.Document `json:"doc"`
}

// historyKey returns the key of a version's history row. Its digits are padded
// so that the keys sort by version.
func historyKey(version int64) string {
	return fmt.Sprintf("%s%020d", historyPrefix, version)
}

// Seed returns the writes that put doc into an empty table.
func Seed(doc *core.Document) ([]core.Write, error) {
	return publishWrites(doc, Stamp{Version: doc.Version}, nil)
}

// publishWrites returns the transaction that publishes doc. It requires that
// the table's rows still have the revisions of those in rows, and deletes the
// history row beyond maxHistory.
func publishWrites(doc *core.Document, stamp Stamp, rows []core.Row) ([]core.Write, error) {
	var all []core.Write
	for _, row := range []struct {
		key   string
		value any
	}{
		{DocumentKey, doc},
		{StampKey, stamp},
		{historyKey(stamp.Version), HistoryEntry{Stamp: stamp, Doc: *doc}},
	} {
		value, err := pack(row.value)
		if err != nil {
			return nil, codes.Wrap(codes.Internal, err, "row %s", row.key)
		}
		if len(value) > maxDocumentBytes {
			return nil, codes.New(codes.TooLarge, "document: over %d bytes", maxDocumentBytes)
		}
		all = append(all, core.Write{Key: row.key, Value: value, Expect: findRow(rows, row.key).Revision})
	}
	if old := findRow(rows, historyKey(stamp.Version-maxHistory)); old.Revision != 0 {
		all = append(all, core.Write{Key: old.Key, Expect: old.Revision, Delete: true})
	}
	return all, nil
}

// findRow returns the row of that key, or an empty one with revision zero.
func findRow(rows []core.Row, key string) core.Row {
	for _, r := range rows {
		if r.Key == key {
			return r
		}
	}
	return core.Row{Key: key}
}

// decode decodes a row's value into v. An absent row leaves v unchanged.
func decode(row core.Row, v any) error {
	if row.Revision == 0 {
		return nil
	}
	if err := unpack(row.Value, v); err != nil {
		return codes.Wrap(codes.BadDocument, err, "row %s", row.Key)
	}
	return nil
}
