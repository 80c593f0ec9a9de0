package pubdoc

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"lacewinghook.example/lacewinghook/codes"
)

// Every entry reads the document after each change, and its text is highly
// repetitive, so large values are stored compressed.
const (
	// maxPlainBytes is the JSON size above which a value is compressed.
	maxPlainBytes = 4 << 10
	// maxUnpackedBytes bounds the decompressed size of a row.
	maxUnpackedBytes = 16 << 20
)

// gzipMagic is the prefix of every compressed value. No JSON value starts with
// it.
var gzipMagic = []byte{0x1f, 0x8b}

// pack encodes v as JSON, compressed if it is larger than maxPlainBytes.
func pack(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil || len(data) <= maxPlainBytes {
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

// unpack decodes a value that [pack] encoded.
func unpack(data []byte, v any) error {
	if !bytes.HasPrefix(data, gzipMagic) {
		return json.Unmarshal(data, v)
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return err
	}
	if len(plain) > maxUnpackedBytes {
		return codes.New(codes.TooLarge, "over %d bytes", maxUnpackedBytes)
	}
	return json.Unmarshal(plain, v)
}
