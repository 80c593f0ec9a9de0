package engine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/engine"
)

// TestPlainCall checks that an error with Run NotRun means that no byte reached
// the service, and that a call with a key is sent only once.
func TestPlainCall(t *testing.T) {
	closes := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for _, tc := range []struct {
		name string
		// handle is the service; nil means that its port is closed.
		handle http.HandlerFunc
		// left is the time until the call's deadline.
		left clock.Millis
		// status is expected of a response, code and run of an error.
		status int
		code   codes.Code
		run    codes.Run
		calls  int64
	}{
		{name: "answered", handle: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(201) }, left: clock.Minute, status: 201, calls: 1},
		{name: "fails and answers", handle: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, left: clock.Minute, status: 503, calls: 1},
		{name: "redirects", handle: func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
		}, left: clock.Minute, status: 307, calls: 1},
		{name: "closes the connection", handle: closes, left: clock.Minute, code: codes.UpstreamLost, run: codes.Unknown, calls: 1},
		{name: "refuses the connection", left: clock.Minute, code: codes.UpstreamRefused, run: codes.NotRun},
		{name: "deadline past before the send", handle: closes, left: -1, code: codes.DeadlinePast, run: codes.NotRun},
		{name: "answer too large", handle: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 17<<20)) }, left: clock.Minute, code: codes.UpstreamLost, run: codes.Unknown, calls: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				tc.handle(w, r)
			}))
			defer srv.Close()
			if tc.handle == nil {
				srv.Close()
			}
			up := core.Upstream{Name: "card-desk-1", Addr: srv.Listener.Addr().String()}
			a, err := (&engine.Client{}).Call(context.Background(), up, newKeyedCall(tc.left), 1)
			is.Equal(a.Status, tc.status)
			is.Equal(calls.Load(), tc.calls)
			if tc.code != 0 {
				is.Equal(codes.From(err).Code, tc.code)
				is.Equal(codes.From(err).Run, tc.run)
			}
		})
	}
}

// newKeyedCall returns a call with an idempotency key whose deadline is left
// from now.
func newKeyedCall(left clock.Millis) core.Call {
	return core.Call{
		Method: http.MethodPost, Path: "/orders", IdempotencyKey: "k", Body: []byte("card"),
		Deadline: clock.Clock{}.Now() + left,
	}
}

// TestKeyedCallUsesNewConnection closes each connection when a second call
// arrives on it, which makes net/http resend a call with a key.
func TestKeyedCallUsesNewConnection(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	var calls atomic.Int64
	go serveOnce(ln, &calls)
	up := core.Upstream{Name: "card-desk-1", Addr: ln.Addr().String()}
	c := &engine.Client{HTTP: &http.Client{Transport: &http.Transport{}}}
	for want := range int64(5) {
		_, err := c.Call(context.Background(), up, newKeyedCall(clock.Minute), 1)
		is.NoErr(err)
		is.Equal(calls.Load(), want+1)
	}
}

// serveOnce responds to one call per connection and closes the connection when
// the next call arrives.
func serveOnce(ln net.Listener, calls *atomic.Int64) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			buf := make([]byte, 4096)
			if _, err := conn.Read(buf); err != nil {
				return
			}
			calls.Add(1)
			_, _ = io.WriteString(conn, answer)
			if n, _ := conn.Read(buf); n > 0 {
				calls.Add(1)
			}
		}()
	}
}
