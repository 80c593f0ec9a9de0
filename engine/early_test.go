package engine_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/engine"
	"lacewinghook.example/lacewinghook/extsim"
)

// earlyService returns the upstream that [extsim.ServeEarly] serves.
func earlyService(t *testing.T, text string, size int64, reset bool) core.Upstream {
	return core.Upstream{Name: "u", Addr: extsim.ServeEarly(t, text, size, reset)}
}

// callEarly makes a call with a body of 4 MiB, more than socket buffers hold.
func callEarly(t *testing.T, up core.Upstream, key string) (core.Answer, error) {
	call := newKeyedCall(clock.Minute)
	call.IdempotencyKey, call.Body = key, make([]byte, 4<<20)
	transport := engine.NewTransport()
	defer transport.CloseIdleConnections()
	return (&engine.Client{HTTP: &http.Client{Transport: transport}}).Call(t.Context(), up, call, 1)
}

// TestAnswerBeforeTheCallIsTruncated guards against a part of an answer that is taken for a
// whole one, because the service ended the connection while the call was being sent.
func TestAnswerBeforeTheCallIsTruncated(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 500)
	for _, key := range []string{"", "k"} {
		for end, reset := range map[string]bool{"reset": true, "close": false} {
			t.Run(end+" "+key, func(t *testing.T) {
				is := is.New(t)
				up := earlyService(t, text, 0, reset)
				whole := 0
				for range 20 {
					if _, err := callEarly(t, up, key); err == nil {
						whole++
					}
				}
				is.Equal(whole, 0)
			})
		}
		t.Run("sound "+key, func(t *testing.T) {
			is := is.New(t)
			up := earlyService(t, text, 4<<20, false)
			for range 20 {
				a, err := callEarly(t, up, key)
				is.NoErr(err)
				is.Equal(len(a.Body), 500)
			}
		})
	}
}

// TestStatusOutOfRange guards against an answer whose status is none.
func TestStatusOutOfRange(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "600", "999", "-20", "abc"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			up := earlyService(t, "HTTP/1.1 "+status+" x\r\nContent-Length: 2\r\n\r\n{}", 0, false)
			_, err := (&engine.Client{}).Call(t.Context(), up, newKeyedCall(clock.Minute), 1)
			is.True(codes.Has(err, codes.UpstreamLost))
			_, err = (&engine.Client{}).LastOrder(t.Context(), up)
			is.True(codes.Has(err, codes.UpstreamLost))
		})
	}
}
