package engine

import "net/http"

// The sizes of what a connection to an upstream keeps. A stream comes in small
// events, and of many thousand streams each holds a connection; larger bodies
// pass the buffers by.
const (
	readBufferBytes  = 1 << 10
	writeBufferBytes = 1 << 10
	// maxIdleConns bounds the kept connections to one upstream.
	maxIdleConns = 64
)

// NewTransport returns a transport for [Client.HTTP] that is sized for many
// streams.
func NewTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns, ReadBufferSize: readBufferBytes, WriteBufferSize: writeBufferBytes,
	}
}
