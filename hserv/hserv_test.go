package hserv_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/hserv"
)

// TestZeroWriter checks that a Writer without a timeout delivers an answer.
func TestZeroWriter(t *testing.T) {
	for name, length := range map[string]int64{"known length": 4, "unknown length": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			errs := make(chan error, 1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				a := &hserv.Writer{Response: w}
				errs <- errors.Join(a.Reply(core.Reply{Status: http.StatusAccepted, Length: length}), a.Write([]byte("te")), a.Write([]byte("xt")), a.Flush(), a.Err)
			}))
			defer s.Close()
			r, err := http.Get(s.URL)
			is.NoErr(err)
			defer r.Body.Close()
			data, err := io.ReadAll(r.Body)
			is.NoErr(err)
			is.Equal(string(data), "text")
			is.Equal(r.StatusCode, http.StatusAccepted)
			is.Equal(r.ContentLength, length)
			is.NoErr(<-errs)
		})
	}
}

// TestReadAll checks the errors of a body that is too long and of one that doesn't arrive.
func TestReadAll(t *testing.T) {
	const limit = 8
	for name, c := range map[string]struct {
		text   string
		length string
		within clock.Millis
		expire bool
		want   func(error) bool
	}{
		"complete":        {"12345678", "8", clock.Minute, false, func(err error) bool { return err == nil }},
		"too long":        {"123456789", "9", clock.Minute, false, func(err error) bool { var e *http.MaxBytesError; return errors.As(err, &e) }},
		"time over":       {"1", "8", 20, false, func(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }},
		"expired at once": {"1", "8", 0, true, func(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			errs := make(chan error, 1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				b := hserv.Body{Request: r, Controller: http.NewResponseController(w)}
				if c.expire {
					b.Expire()
				}
				data, err := b.ReadAll(limit, c.within)
				if err == nil && string(data) != c.text {
					err = errors.New("another body")
				}
				errs <- err
			}))
			defer s.Close()
			conn, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "+c.length+"\r\n\r\n"+c.text)
			is.NoErr(err)
			is.True(c.want(<-errs))
		})
	}
}
