package wire

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/spool"
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
	// held, if not nil, bounds the bytes of the messages of all connections that are
	// being read. If a message must give way, evict ends its read.
	held  *spool.Pool
	evict func()
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
	data := spool.Buffer{Pool: c.held, Evict: c.evict}
	defer data.Reset()
	read, err := data.ReadFrom(io.LimitReader(r, int64(n)))
	switch {
	case err != nil:
		return err
	case read < int64(n):
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(bytes.Join(data.Blocks(), nil), v)
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

// newStream returns a message stream over conn that rejects messages of more than
// limit bytes. It is closed if held, which may be nil, has no room for a message.
func newStream(conn net.Conn, limit uint64, held *spool.Pool) jsonrpc2.ObjectStream {
	raw := conn
	if t, ok := conn.(*tls.Conn); ok {
		// Closing the TLS connection would write to it.
		raw = t.NetConn()
	}
	// An error means that the connection is closed already.
	evict := func() { _ = raw.Close() }
	return jsonrpc2.NewBufferedStream(timedConn{conn}, codec{limit: limit, held: held, evict: evict})
}
