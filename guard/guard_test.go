package guard

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/spool"
)

// start serves requests with g on a loopback address. Each request runs until run is closed.
func start(t *testing.T, g *Guard, run <-chan struct{}) string {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	if g.Limits == nil {
		g.Limits = func() core.InputLimits { return core.InputLimits{Headers: 16 << 10} }
	}
	s := &http.Server{ConnState: SetState, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		<-run
		w.WriteHeader(http.StatusNoContent)
	})}
	go func() { _ = s.Serve(g.Listener(ln)) }()
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String()
}

// client is a connection to a server.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// dial connects to a server and sends the text.
func dial(t *testing.T, addr, text string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, text)
	return &client{c, bufio.NewReader(c)}
}

// status returns the status of the next answer, zero if the connection was closed.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// until waits until f returns true.
func until(t *testing.T, f func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within 5 s")
		}
	}
}

// request makes a request with n lines.
func request(n int) string {
	var b strings.Builder
	b.WriteString("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n")
	for i := range n {
		fmt.Fprintf(&b, "%x:\n", i)
	}
	return b.String() + "\r\nok"
}

// TestHeadEndsAsInNetHTTP guards against an end of a head that net/http doesn't see, after
// which its lines would not be counted.
func TestHeadEndsAsInNetHTTP(t *testing.T) {
	for text, ended := range map[string]bool{
		"GET / HTTP/1.1\r\n\r\nx": true, "GET / HTTP/1.1\n\nx": true, "GET / HTTP/1.1\r\nA: b\n\r\nx": true,
		"\r\n\r\n\r\n": false, "GET / HTTP/1.1\r\n\r\r\n": false, "GET / HTTP/1.1\r\nA: b\r\n \r\n": false, "\r\nGET / HTTP/1.1\r\n": false,
	} {
		is := is.New(t)
		var whole, single head
		whole.add([]byte(text))
		for _, b := range []byte(text) {
			single.add([]byte{b})
		}
		is.Equal(whole, single)
		is.Equal(whole.ended, ended)
		if ended {
			is.Equal(whole.bytes, int64(len(text)-1))
			_, err := http.ReadRequest(bufio.NewReader(bytes.NewReader([]byte(text))))
			is.NoErr(err)
		}
	}
}

// TestHeadsAreChargedUntilTheyEnd guards against heads whose memory isn't counted while
// their requests run, or is counted for ever.
func TestHeadsAreChargedUntilTheyEnd(t *testing.T) {
	is := is.New(t)
	run := make(chan struct{})
	g := &Guard{Heads: &spool.Pool{Max: 1 << 20}}
	addr := start(t, g, run)
	var sent []*client
	const lines = 1000 // about 250 KiB: two heads leave as much room as they take
	for range 2 {
		sent = append(sent, dial(t, addr, request(lines)))
		until(t, func() bool { return g.Heads.Used() >= int64(len(sent)*lines*bytesPerLine) })
	}
	is.Equal(dial(t, addr, request(2*lines)).status(), http.StatusServiceUnavailable)
	ordinary := dial(t, addr, request(10))
	close(run)
	for _, c := range append(sent, ordinary) {
		is.Equal(c.status(), http.StatusNoContent)
	}
	until(t, func() bool { return g.Heads.Used() == 0 })
	is.Equal(dial(t, addr, request(lines)).status(), http.StatusNoContent)
}

// TestRequestsInOnePacket guards against the begin of a request that isn't counted since it
// came with the end of the one before.
func TestRequestsInOnePacket(t *testing.T) {
	is := is.New(t)
	run := make(chan struct{})
	close(run)
	g := &Guard{Heads: &spool.Pool{}}
	addr := start(t, g, run)
	const lines = 300
	half := strings.TrimSuffix(request(lines), "\r\nok")
	c := dial(t, addr, request(1)+half)
	is.Equal(c.status(), http.StatusNoContent)
	until(t, func() bool { return g.Heads.Used() >= lines*bytesPerLine-allowance })
	_, err := io.WriteString(c, "\r\nok")
	is.NoErr(err)
	is.Equal(c.status(), http.StatusNoContent)
	until(t, func() bool { return g.Heads.Used() == 0 })
}

// TestOldestWaitingConnectionGivesWay guards against connections without a bound, and
// against a bound that cuts requests or keeps out new callers.
func TestOldestWaitingConnectionGivesWay(t *testing.T) {
	is := is.New(t)
	run := make(chan struct{})
	g := &Guard{MaxConns: 3}
	addr := start(t, g, run)
	// state waits until so many connections are open, and so many of them are not serving.
	state := func(open, between int) {
		t.Helper()
		until(t, func() bool { g.mu.Lock(); defer g.mu.Unlock(); return g.open == open && g.between.Len() == between })
	}
	serving := dial(t, addr, request(1))
	state(1, 0)
	first := dial(t, addr, "")
	state(2, 1)
	second := dial(t, addr, "POST / HTTP/1.1\r\n")
	state(3, 2)
	third := dial(t, addr, request(1))
	is.Equal(first.status(), 0)
	state(3, 1)
	fourth := dial(t, addr, request(1))
	is.Equal(second.status(), 0)
	state(3, 0)
	// All are serving. The reset may already end the connect.
	if c, err := net.Dial("tcp", addr); err == nil {
		_, err = io.ReadAll(c)
		is.True(err != nil)
		is.NoErr(c.Close())
	}
	close(run)
	for _, c := range []*client{serving, third, fourth} {
		is.Equal(c.status(), http.StatusNoContent)
	}
	is.Equal(g.Len(), 3)
}

// TestLimitInForce guards against heads that are read beyond the limit in force.
func TestLimitInForce(t *testing.T) {
	is := is.New(t)
	run := make(chan struct{})
	close(run)
	var limit atomic.Int64
	limit.Store(8 << 10)
	g := &Guard{Limits: func() core.InputLimits { return core.InputLimits{Headers: limit.Load()} }}
	addr := start(t, g, run)
	text := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nX: " + strings.Repeat("x", 64<<10)
	is.Equal(dial(t, addr, text).status(), http.StatusRequestEntityTooLarge)
	limit.Store(128 << 10)
	is.Equal(dial(t, addr, text+"\r\n\r\nok").status(), http.StatusNoContent)
}
