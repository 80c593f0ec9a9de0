package prof

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"lacewinghook.example/lacewinghook/codes"
)

// Documents are read by every entry after each change, and consist for the
// most part of the same words again and again: they are kept compressed.
const (
	// packAbove is the size above which a value is compressed, in bytes.
	packAbove = 4 << 10
	// maxUnpacked bounds what a row may unpack to.
	maxUnpacked = 16 << 20
)

// gzipMagic begins every compressed value; no JSON value begins so.
var gzipMagic = []byte{0x1f, 0x8b}

// pack encodes v as JSON and compresses it if that is worth while.
func pack(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil || len(data) <= packAbove {
		return data, err
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// unpack is the reverse of [pack].
func unpack(data []byte, v any) error {
	if !bytes.HasPrefix(data, gzipMagic) {
		return json.Unmarshal(data, v)
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return err
	}
	if len(plain) > maxUnpacked {
		return codes.New(codes.TooLarge, "over %d bytes", maxUnpacked)
	}
	return json.Unmarshal(plain, v)
}
