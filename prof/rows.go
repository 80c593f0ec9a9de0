package prof

import (
	"fmt"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// The rows of publishing. All three change in one transaction.
const (
	// Key is the table's row that holds the document.
	Key = "prof/document"
	// StampKey is the small row that says which version stands under [Key];
	// it is what entries read again and again.
	StampKey = "prof/stamp"
	// historyPrefix is that of the rows of former versions.
	historyPrefix = "prof/history/"
)

// maxHistory bounds the versions that are kept.
const maxHistory = 50

// maxDocumentBytes bounds the document as it is kept, so that it fits a row of
// the table.
const maxDocumentBytes = 900 << 10

// Stamp says which version stands in the table and which publishing wrote it.
type Stamp struct {
	Version int64 `json:"version"`
	// Token was drawn for one publishing: it tells its writer, after a lost
	// answer, whose version stands.
	Token string `json:"token,omitempty"`
	// By names the operator, and At is the wall time in milliseconds since
	// 1970, for people only.
	By string `json:"by,omitempty"`
	At int64  `json:"at,omitempty"`
}

// Past is one version of the history.
type Past struct {
	Stamp
	Doc core.Document `json:"doc"`
}

func historyKey(version int64) string {
	return fmt.Sprintf("%s%020d", historyPrefix, version)
}

// Seed returns the writes that put doc into an empty table.
func Seed(doc *core.Document) ([]core.Write, error) {
	return writes(doc, Stamp{Version: doc.Version}, nil)
}

// writes returns the transaction that puts doc into a table whose rows stand
// as in rows.
func writes(doc *core.Document, stamp Stamp, rows []core.Row) ([]core.Write, error) {
	var all []core.Write
	for _, row := range []struct {
		key   string
		value any
	}{
		{Key, doc},
		{StampKey, stamp},
		{historyKey(stamp.Version), Past{Stamp: stamp, Doc: *doc}},
	} {
		value, err := pack(row.value)
		if err != nil {
			return nil, codes.Wrap(codes.Internal, err, "row %s", row.key)
		}
		if len(value) > maxDocumentBytes {
			return nil, codes.New(codes.TooLarge, "document: over %d bytes", maxDocumentBytes)
		}
		all = append(all, core.Write{Key: row.key, Value: value, Expect: find(rows, row.key).Revision})
	}
	if old := find(rows, historyKey(stamp.Version-maxHistory)); old.Revision != 0 {
		all = append(all, core.Write{Key: old.Key, Expect: old.Revision, Delete: true})
	}
	return all, nil
}

func find(rows []core.Row, key string) core.Row {
	for _, r := range rows {
		if r.Key == key {
			return r
		}
	}
	return core.Row{Key: key}
}

// decode reads a row's value into v; a row that is absent leaves v alone.
func decode(row core.Row, v any) error {
	if row.Revision == 0 {
		return nil
	}
	if err := unpack(row.Value, v); err != nil {
		return codes.Wrap(codes.BadDocument, err, "row %s", row.Key)
	}
	return nil
}
