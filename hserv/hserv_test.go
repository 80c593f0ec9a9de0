package hserv_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/hserv"
	"lacewinghook.example/lacewinghook/spool"
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

// TestReadTo checks the errors of a body that is too long and of one that doesn't arrive.
func TestReadTo(t *testing.T) {
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
				var buf spool.Buffer
				err := b.ReadTo(&buf, limit, c.within)
				if err == nil && string(bytes.Join(buf.Blocks(), nil)) != c.text {
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

// TestReadToWithoutRoom checks bodies that find no room, or have to give way while they
// are read, and that the rest of them can be discarded, whatever their form.
func TestReadToWithoutRoom(t *testing.T) {
	const length = 64 << 10
	for name, c := range map[string]struct {
		chunked bool
		// held is what the pool holds for it when half of it was read, and it must give
		// way; zero if it finds no room.
		held int64
	}{
		"of known length":            {false, 0},
		"in chunks":                  {true, 0},
		"of known length, gives way": {false, length},
		"in chunks, gives way":       {true, length / 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			head, text := "Content-Length: 65536", strings.Repeat("x", length)
			if c.chunked {
				head, text = "Transfer-Encoding: chunked", "10000\r\n"+text+"\r\n0\r\n\r\n"
			}
			const left = length / 8
			pool := &spool.Pool{Max: 2 * length}
			other := spool.Buffer{Pool: pool}
			is.NoErr(other.Reserve(pool.Max - max(c.held, length) - left))
			if c.held > 0 {
				is.NoErr(other.Reserve(max(length-c.held, 0)))
			}
			is.NoErr(other.Pin())
			evicted := make(chan struct{})
			reading := make(chan struct{})
			errs := make(chan error, 1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				b := hserv.Body{Request: r, Controller: http.NewResponseController(w)}
				r.Body = &halfRead{ReadCloser: r.Body, left: length / 2, done: reading}
				buf := spool.Buffer{Pool: pool, Evict: func() { b.Interrupt(); close(evicted) }, Lasting: c.held == 0}
				errs <- b.ReadTo(&buf, length, clock.Minute)
				buf.Reset()
				b.Discard(length)
			}))
			defer s.Close()
			conn, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
			is.NoErr(err)
			defer conn.Close()
			half := len(text) / 2
			if c.chunked {
				half = len("10000\r\n") + length/2
			}
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+head+"\r\n\r\n"+text[:half])
			is.NoErr(err)
			if c.held > 0 {
				<-reading
				third := spool.Buffer{Pool: pool}
				is.NoErr(third.Write(make([]byte, left+1)))
				<-evicted
			}
			_, err = io.WriteString(conn, text[half:])
			is.NoErr(err)
			is.True(errors.Is(<-errs, spool.ErrFull))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.True(!resp.Close) // the whole body was read
		})
	}
}

// TestDiscardsAreBounded guards against a process whose time goes to decoding the bodies of
// rejected requests, and against a bound that ordinary bodies meet.
func TestDiscardsAreBounded(t *testing.T) {
	is := is.New(t)
	var all hserv.Discards
	read := make(chan int64, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted := &countedBody{ReadCloser: r.Body}
		r.Body = counted
		hserv.Body{Request: r, Controller: http.NewResponseController(w), Discards: &all}.Discard(1 << 40)
		w.WriteHeader(http.StatusServiceUnavailable)
		read <- counted.n
	}))
	defer s.Close()
	begun := time.Now()
	var total int64
	for range 3 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
		is.NoErr(err)
		part := strings.Repeat("1\r\nx\r\n", 4<<10)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(conn, part)
		}
		is.NoErr(conn.Close())
		total += <-read
	}
	// At most a sixth of what is decoded is body, and the rest is missing from what is read.
	const burst, perSecond = 16 << 20, 8 << 20
	is.True(total > 0)
	is.True(float64(total) <= (burst+perSecond*time.Since(begun).Seconds())/5+3*(16<<10))
	for range 20 {
		const length = 4_000_000
		resp, err := http.Post(s.URL, "", io.LimitReader(zeros{}, length))
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(<-read, int64(length)) // it is read to its end
	}
}

// zeros is a body without end.
type zeros struct{}

// Read implements [io.Reader].
func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// countedBody counts the bytes that are read.
type countedBody struct {
	io.ReadCloser
	n int64
}

// Read implements [io.Reader].
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.n += int64(n)
	return n, err
}

// halfRead closes done once the first left bytes of a body were read.
type halfRead struct {
	io.ReadCloser
	left int
	done chan struct{}
}

// Read implements [io.Reader].
func (r *halfRead) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if r.left -= n; r.left <= 0 && r.left+n > 0 {
		close(r.done)
	}
	return n, err
}
