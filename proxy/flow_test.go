package proxy_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/proxy"
)

// startProxy starts a proxy to an echo server and returns it and a connection through it.
func startProxy(t *testing.T) (*proxy.Proxy, net.Conn) {
	is := is.New(t)
	p := &proxy.Proxy{Target: startEcho(t)}
	addr, err := p.Listen()
	is.NoErr(err)
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = c.Write([]byte("word"))
	is.NoErr(err)
	is.NoErr(readWord(c, 5*time.Second))
	return p, c
}

// readWord reads a word that was sent before.
func readWord(c net.Conn, within time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(within))
	got := make([]byte, 4)
	_, err := io.ReadFull(c, got)
	if err == nil && string(got) != "word" {
		return errors.New("another word")
	}
	return err
}

// TestHold checks that data that is held in either direction arrives later.
func TestHold(t *testing.T) {
	for name, flows := range map[string][2]proxy.Flow{
		"up": {{Hold: true}, {}}, "down": {{}, {Hold: true}}, "both": {{Hold: true}, {Hold: true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, c := startProxy(t)
			p.SetFlows(flows[0], flows[1])
			_, err := c.Write([]byte("word"))
			is.NoErr(err)
			is.True(readWord(c, 50*time.Millisecond) != nil)
			p.SetFlows(proxy.Flow{}, proxy.Flow{})
			is.NoErr(readWord(c, 5*time.Second))
		})
	}
}

// TestCloseWhileHeld checks that a proxy that holds data can be closed.
func TestCloseWhileHeld(t *testing.T) {
	is := is.New(t)
	p, c := startProxy(t)
	p.SetFlows(proxy.Flow{Hold: true}, proxy.Flow{Hold: true})
	_, err := c.Write([]byte("word"))
	is.NoErr(err)
	is.NoErr(c.Close())
	p.Close()
}

// TestDelay checks that data arrives no earlier than the delay.
func TestDelay(t *testing.T) {
	is := is.New(t)
	p, c := startProxy(t)
	p.SetFlows(proxy.Flow{Delay: 20}, proxy.Flow{Delay: 20})
	start := time.Now()
	_, err := c.Write([]byte("word"))
	is.NoErr(err)
	is.NoErr(readWord(c, 5*time.Second))
	is.True(time.Since(start) >= 40*time.Millisecond)
}

// TestReset checks that both ends see a reset and not an end of the data.
func TestReset(t *testing.T) {
	is := is.New(t)
	p, c := startProxy(t)
	p.Reset()
	is.True(errors.Is(readWord(c, 5*time.Second), syscall.ECONNRESET))
}

// TestEndless checks that an endless response replaces the data and ends with its reader.
func TestEndless(t *testing.T) {
	is := is.New(t)
	p, c := startProxy(t)
	p.SetFlows(proxy.Flow{}, proxy.Flow{Endless: true})
	_, err := c.Write([]byte("word"))
	is.NoErr(err)
	got := make([]byte, 1<<20)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = io.ReadFull(c, got)
	is.NoErr(err)
	is.True(bytes.HasPrefix(got, []byte("HTTP/1.1 200 OK\r\n")))
	is.NoErr(c.Close())
	p.Close() // waits until the proxy has stopped to send
}
