package proxy_test

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/proxy"
)

// startEcho starts a server that echoes its input, and returns its address.
func startEcho(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

// TestCutAndHeal checks that a cut closes open and new connections, and that new
// ones work after the proxy is healed.
func TestCutAndHeal(t *testing.T) {
	is := is.New(t)
	p := &proxy.Proxy{Target: startEcho(t)}
	addr, err := p.Listen()
	is.NoErr(err)
	defer p.Close()
	// echoed reports whether a word sent on c is echoed.
	echoed := func(c net.Conn) bool {
		if _, err := c.Write([]byte("word")); err != nil {
			return false
		}
		got := make([]byte, 4)
		_, err := io.ReadFull(c, got)
		return err == nil && string(got) == "word"
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", addr)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	open := dial()
	is.True(echoed(open))
	p.Cut()
	is.True(!echoed(open))
	is.True(!echoed(dial()))
	p.Heal()
	is.True(echoed(dial()))
}
