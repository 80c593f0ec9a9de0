package extsim

import (
	"bytes"
	"io"
	"net"
	"testing"
)

// ServeEarly listens on loopback and answers each connection with text once it has read the
// head of a request, or size bytes of its body as well, and then closes or resets the
// connection. It returns its address and ends with the test.
func ServeEarly(t *testing.T, text string, size int64, reset bool) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerEarly(c.(*net.TCPConn), text, size, reset)
		}
	}()
	return ln.Addr().String()
}

// answerEarly answers the request on one connection.
func answerEarly(c *net.TCPConn, text string, size int64, reset bool) {
	defer c.Close()
	var head []byte
	for b := make([]byte, 1); !bytes.HasSuffix(head, []byte("\r\n\r\n")); head = append(head, b[0]) {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
	// Errors mean that the caller has left.
	_, _ = io.CopyN(io.Discard, c, size)
	_, _ = io.WriteString(c, text)
	if reset {
		_ = c.SetLinger(0)
	}
}
