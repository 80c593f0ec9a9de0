package engine

import (
	"context"
	"net"
	"net/http"
)

// Buffer sizes of a connection to an upstream. They are small, since many
// thousand streams hold a connection each and events are small. Larger bodies
// bypass the buffers.
const (
	readBufferBytes  = 1 << 10
	writeBufferBytes = 1 << 10
	// maxIdleConns is the maximum number of idle connections per upstream.
	maxIdleConns = 64
	// maxHeadBytes bounds the head of a response. net/http allows 10 MB, which many
	// upstreams in trouble would fill at once.
	maxHeadBytes = 32 << 10
)

// NewTransport returns a transport for [Client.HTTP] with buffers sized for many
// concurrent streams.
func NewTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns, ReadBufferSize: readBufferBytes, WriteBufferSize: writeBufferBytes,
		MaxResponseHeaderBytes: maxHeadBytes,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
	}
}
