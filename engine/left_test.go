package engine_test

import (
	"context"
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

// closed is a core.Caller whose close this host has received.
type closed struct{}

func (closed) PeerClosed() bool { return true }

func (closed) SinceReceived() clock.Millis { return 0 }

// TestNothingIsSentForACallerThatLeft guards against calls of a request whose caller has
// left, before its context has ended.
func TestNothingIsSentForACallerThatLeft(t *testing.T) {
	var received atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer srv.Close()
	up := core.Upstream{Name: "u", Addr: srv.Listener.Addr().String()}
	c := &engine.Client{}
	try := core.Try{Request: &core.Request{}, Attempt: 1}
	for name, send := range map[string]func(context.Context) error{
		"prefill": func(ctx context.Context) error { _, err := c.Prefill(ctx, up, try); return err },
		"decode":  func(ctx context.Context) error { return c.Decode(ctx, up, try, core.Export{}, func() {}, nil) },
		"call":    func(ctx context.Context) error { _, err := c.Call(ctx, up, newKeyedCall(clock.Minute), 1); return err },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, leave := context.WithCancel(core.WithCaller(t.Context(), closed{}))
			defer leave()
			ctx = core.WithLeave(ctx, leave)
			err := send(ctx)
			is.Equal(codes.From(err).Code, codes.CallerGone)
			is.Equal(codes.From(err).Run, codes.NotRun)
			is.True(ctx.Err() != nil)
			is.Equal(received.Load(), int64(0))
		})
	}
}
