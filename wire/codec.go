package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"lacewinghook.example/lacewinghook/clock"
)

// Bounds of one message in bytes. An answer may hold the whole published
// document; nothing else is large.
const (
	maxCallBytes   = 64 << 10
	maxAnswerBytes = 8 << 20
)

// errTooLong is the error of a message over its bound.
var errTooLong = errors.New("wire: a message is over its bound")

// codec frames each message with its length as a varint. It differs from the
// library's codec of that form in its bound.
type codec struct {
	limit uint64
}

// WriteObject implements [jsonrpc2.ObjectCodec].
func (codec) WriteObject(w io.Writer, v any) error {
	return jsonrpc2.VarintObjectCodec{}.WriteObject(w, v)
}

// ReadObject implements [jsonrpc2.ObjectCodec]. Memory is taken as bytes
// arrive and not as the length promises.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if n > c.limit {
		return errTooLong
	}
	var data bytes.Buffer
	if _, err := io.CopyN(&data, r, int64(n)); err != nil {
		return err
	}
	return json.Unmarshal(data.Bytes(), v)
}

// Times of a connection.
const (
	// idleTimeout ends a connection on which nothing arrives.
	idleTimeout = 90 * clock.Second
	// writeTimeout bounds the sending of one message.
	writeTimeout = 2 * clock.Second
	// handshakeTimeout bounds the set-up of TLS.
	handshakeTimeout = 3 * clock.Second
)

// timedConn is a connection whose reads and writes are bounded in time.
type timedConn struct {
	net.Conn
}

// Read implements [net.Conn].
func (c timedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(deadline(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements [net.Conn].
func (c timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(deadline(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// newStream frames the messages of a connection, and reads none over limit.
func newStream(raw net.Conn, limit uint64) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(timedConn{raw}, codec{limit: limit})
}
