package engine_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/engine"
)

// endless answers each connection with start and then rest until the client closes it.
func endless(t *testing.T, start, rest string) (addr string) {
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
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				block := []byte(strings.Repeat(rest, 1+4096/len(rest)))
				for text, err := []byte(start), error(nil); err == nil; text = block {
					_, err = c.Write(text)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// TestHeadWithoutEnd guards against an engine whose head never ends and fills megabytes of
// each entry.
func TestHeadWithoutEnd(t *testing.T) {
	for name, c := range map[string][2]string{
		"one header":   {"HTTP/1.1 200 OK\r\nX-A: ", "x"},
		"many headers": {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			up := core.Upstream{Name: "d1", Addr: endless(t, c[0], c[1])}
			client := &engine.Client{HTTP: &http.Client{Transport: engine.NewTransport()}}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			const calls = 10
			for range calls {
				_, err := client.Load(ctx, up)
				is.True(codes.Has(err, codes.UpstreamLost))
			}
			runtime.ReadMemStats(&after)
			// A hundred at once leave half of the memory of an entry of 112 MB.
			is.True((after.TotalAlloc-before.TotalAlloc)/calls < 112<<20/2/100)
		})
	}
}

// TestStreamWithoutEvents guards against a stream that holds no events and is read to the
// deadline.
func TestStreamWithoutEvents(t *testing.T) {
	for name, rest := range map[string]string{"comments": ": x\n\n", "blank lines": "\n", "other lines": "x\n", "one line": "x"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			up := core.Upstream{Name: "d1", Addr: endless(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", rest)}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			err := (&engine.Client{HTTP: &http.Client{Transport: engine.NewTransport()}}).Resume(ctx, up, streamID, 3, 0, func(core.Token) error { return nil })
			is.True(codes.Has(err, codes.UpstreamLost))
			is.NoErr(ctx.Err())
		})
	}
}
