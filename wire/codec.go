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

// Maximum size of one message in bytes. A response may hold the whole published
// document; no other message is large.
const (
	maxRequestBytes  = 64 << 10
	maxResponseBytes = 8 << 20
)

// errMessageTooLarge is the error of a message over the limit of its codec.
var errMessageTooLarge = errors.New("wire: message exceeds the size limit")

// codec prefixes each message with its length as a varint. Unlike the library's
// [jsonrpc2.VarintObjectCodec] it limits the size of the messages it reads.
type codec struct {
	limit uint64 // bytes
}

// WriteObject implements [jsonrpc2.ObjectCodec].
func (codec) WriteObject(w io.Writer, v any) error {
	return jsonrpc2.VarintObjectCodec{}.WriteObject(w, v)
}

// ReadObject implements [jsonrpc2.ObjectCodec]. The buffer grows as bytes arrive
// instead of being allocated by the announced length, which may be false.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if n > c.limit {
		return errMessageTooLarge
	}
	var data bytes.Buffer
	if _, err := io.CopyN(&data, r, int64(n)); err != nil {
		return err
	}
	return json.Unmarshal(data.Bytes(), v)
}

// Timeouts of a connection.
const (
	// idleTimeout closes a connection that receives no data.
	idleTimeout = 90 * clock.Second
	// writeTimeout bounds each write.
	writeTimeout = 2 * clock.Second
	// handshakeTimeout bounds the TLS handshake.
	handshakeTimeout = 3 * clock.Second
)

// timedConn sets a deadline on each read and write.
type timedConn struct {
	net.Conn
}

// Read implements [net.Conn].
func (c timedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(deadlineAfter(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements [net.Conn].
func (c timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(deadlineAfter(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// newStream returns a message stream over raw that rejects messages of more than
// limit bytes.
func newStream(raw net.Conn, limit uint64) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(timedConn{raw}, codec{limit: limit})
}
