package edge_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"lacewinghook.example/lacewinghook/extsim"
	"lacewinghook.example/lacewinghook/relay"
	"lacewinghook.example/lacewinghook/sock"
)

// longBody is an answer that the buffers of a connection between dialSlow and realSockets
// hold only in part until the caller reads.
var longBody = strings.Repeat("x", 64<<10)

// dialSlow opens a connection to the entry with a small receive buffer.
func (r *runningEntry) dialSlow(t *testing.T) *net.TCPConn {
	t.Helper()
	is := is.New(t)
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		if err := raw.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) }); err != nil {
			return err
		}
		return optErr
	}}
	c, err := d.DialContext(context.Background(), "tcp", r.settings.Callers.Listen)
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// realSockets gives the callers' listeners the socket options of the program.
func (s *site) realSockets() {
	s.wrapCallers = func(ln net.Listener) net.Listener {
		addr := ln.Addr().String()
		is := is.New(s.t)
		is.NoErr(ln.Close())
		ln, err := sock.ListenCallers(context.Background(), addr)
		is.NoErr(err)
		return ln
	}
}

// TestPausedReaderGetsAnswer guards against a connection that the kernel closes because its
// caller, which is sound, doesn't read for less time than a write may take (5 s).
func TestPausedReaderGetsAnswer(t *testing.T) {
	const pause = 4500 * time.Millisecond
	for name, stop := range map[string]bool{"while the entry serves": false, "after the end of the entry": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			s.realSockets()
			for _, d := range s.services {
				d.Body = longBody
			}
			r := s.startReady()
			conn := r.dialSlow(t)
			if stop {
				r.stop()
				s.until("the entry isn't ready", func() bool { return !r.ready() })
			}
			_, err := io.WriteString(conn, lateRequest(1, "/safe/a"))
			is.NoErr(err)
			s.until("the request has run", func() bool { return s.runs("id-1") == 1 })
			time.Sleep(pause)
			got := readAnswer(conn)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, longBody)
		})
	}
}

// TestStopDeliversAnswersOnBusyConnections guards against a connection that is reset at the
// end of its last answer, which is lost in part, because its caller has sent more since.
func TestStopDeliversAnswersOnBusyConnections(t *testing.T) {
	for name, more := range map[string]string{
		"another request": lateRequest(2, "/safe/a"), "bytes after the request": "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			s.realSockets()
			for _, d := range s.services {
				d.Body = longBody
				d.Silence = 300 * time.Millisecond
				d.InjectFault(extsim.SilentHead, 1)
			}
			r := s.startReady()
			conn := r.dialSlow(t)
			r.stop()
			s.until("the entry isn't ready", func() bool { return !r.ready() })
			_, err := io.WriteString(conn, lateRequest(1, "/safe/a"))
			is.NoErr(err)
			s.until("the request runs", func() bool { return s.runs("id-1") == 1 })
			_, err = io.WriteString(conn, more)
			is.NoErr(err)
			s.until("the entry has answered", func() bool {
				return r.logs.FilterMessage("edge: request ended during the stop").Len() == 1
			})
			got := readAnswer(conn)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, longBody)
			is.Equal(s.runs("id-2"), 0)
		})
	}
}

// TestStopCutsNoLateCall guards against a call that a stopping entry takes by how long others
// took, although its answer is too long to be read before it is delivered, and cuts.
func TestStopCutsNoLateCall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	s.store.Put("op", "config", strings.ReplaceAll(fmt.Sprintf(manifestText, 2, 9000, ""), `"timeout_ms":2000`, `"timeout_ms":9000`))
	for _, d := range s.services {
		d.Body = strings.Repeat("x", 4*relay.MaxBufferedBytes)
	}
	r := s.startReady()
	for i := range 12 {
		is.Equal(r.do(context.Background(), callerRequest{id: fmt.Sprint("before-", i), path: "/safe/a"}).status, http.StatusOK)
	}
	conn := r.dial(t)
	stopped := time.Now()
	r.stop()
	s.until("the entry isn't ready", func() bool { return !r.ready() })
	// Callers keep a list of addresses for three times its lifetime.
	time.Sleep(time.Until(stopped.Add(3*time.Duration(r.settings.Fleet.Keep)*time.Millisecond + 50*time.Millisecond)))
	for _, d := range s.services {
		d.Silence = 2500 * time.Millisecond
		d.InjectFault(extsim.SilentBody, 1)
	}
	_, err := io.WriteString(conn, lateRequest(1, "/safe/a"))
	is.NoErr(err)
	got := readAnswer(conn)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(s.runs("id-1"), 0)
}

// TestCutAnswerOfOldCallerIsReset guards against an answer that ends early and looks complete,
// since in HTTP/1.0 an answer without a length ends with its connection.
func TestCutAnswerOfOldCallerIsReset(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	for _, d := range s.decode {
		d.EventCount, d.EventInterval = 100, 100*time.Millisecond
	}
	r := s.startReady()
	conn := r.dial(t)
	_, err := io.WriteString(conn, strings.Replace(lateRequest(1, "/verse/a"), "HTTP/1.1", "HTTP/1.0", 1))
	is.NoErr(err)
	s.until("the request runs", func() bool { return s.runs("id-1") == 1 })
	r.stop()
	_, err = io.ReadAll(conn)
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.NoErr(<-r.done)
	r.done <- nil
}
