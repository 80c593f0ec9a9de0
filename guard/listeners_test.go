package guard

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/spool"
)

// serverConfig returns the TLS configuration of a server.
func serverConfig(t *testing.T) *tls.Config {
	t.Helper()
	s := httptest.NewTLSServer(http.NotFoundHandler())
	defer s.Close()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: s.TLS.Certificates}
}

// dialTLS connects to a server with TLS and sends the text. Like in dial, the write may fail
// if the server has refused the request before all of it was sent: the answer counts.
func dialTLS(t *testing.T, addr, text string) *client {
	t.Helper()
	c := dial(t, addr, "")
	secure := tls.Client(c.Conn, &tls.Config{InsecureSkipVerify: true})
	_, _ = io.WriteString(secure, text)
	return &client{secure, bufio.NewReader(secure)}
}

// TestHeadsWithinTLS guards against heads that aren't counted since they are encrypted, and
// against a charge for ordinary requests.
func TestHeadsWithinTLS(t *testing.T) {
	is := is.New(t)
	run := make(chan struct{})
	g := &Guard{Heads: &spool.Pool{Max: 1 << 20}, TLS: serverConfig(t)}
	addr := start(t, g, run)
	ordinary := dialTLS(t, addr, request(10))
	const lines = 1000
	first := dialTLS(t, addr, request(lines))
	until(t, func() bool { return g.Heads.Used() >= lines*bytesPerLine })
	is.Equal(dialTLS(t, addr, request(4*lines)).status(), http.StatusServiceUnavailable)
	is.Equal(dialTLS(t, addr, "POST / HTTP/1.1\r\nX: "+strings.Repeat("x", 64<<10)).status(), http.StatusRequestEntityTooLarge)
	close(run)
	for _, c := range []*client{ordinary, first} {
		is.Equal(c.status(), http.StatusNoContent)
		// The connection serves another request.
		_, err := io.WriteString(c, request(1))
		is.NoErr(err)
		is.Equal(c.status(), http.StatusNoContent)
	}
	until(t, func() bool { return g.Heads.Used() == 0 })
}

// TestHandshakeIsCharged guards against handshakes whose memory isn't counted, or is counted
// after their connections were closed.
func TestHandshakeIsCharged(t *testing.T) {
	is := is.New(t)
	run := make(chan struct{})
	close(run)
	g := &Guard{Heads: &spool.Pool{Max: 256 << 10}, TLS: serverConfig(t), Meter: &meter.Registry{}}
	addr := start(t, g, run)
	// The begin of a record of 16 KiB.
	text := "\x16\x03\x01\x40\x00\x01\x00\xf0\x00" + strings.Repeat("x", 12<<10)
	var all []*client
	for range 10 {
		all = append(all, dial(t, addr, text))
	}
	refused := func() int {
		return int(g.Meter.Value("connections_cut_total", "listener", g.Name, "reason", string(HeadsFull)))
	}
	until(t, func() bool { return refused() > 0 && g.Len() == len(all)-refused() })
	is.True(g.Heads.Used() > 0)
	is.Equal(dialTLS(t, addr, request(10)).status(), http.StatusNoContent)
	for _, c := range all {
		is.NoErr(c.Close())
	}
	until(t, func() bool { return g.Heads.Used() == 0 })
}

// TestPromptRequestsGiveWay guards against requests that don't end, whose connections would
// keep others out of a listener that answers at once.
func TestPromptRequestsGiveWay(t *testing.T) {
	is := is.New(t)
	run := make(chan struct{})
	g := &Guard{MaxConns: 2, Prompt: true}
	addr := start(t, g, run)
	state := func(between, serving int) {
		t.Helper()
		until(t, func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.between.Len() == between && g.serving.Len() == serving
		})
	}
	first := dial(t, addr, request(1))
	state(0, 1)
	idle := dial(t, addr, "")
	state(1, 1)
	second := dial(t, addr, request(1))
	state(0, 2)
	is.Equal(idle.status(), 0)
	third := dial(t, addr, request(1))
	is.Equal(first.status(), 0)
	state(0, 2)
	close(run)
	for _, c := range []*client{second, third} {
		is.Equal(c.status(), http.StatusNoContent)
	}
}

// TestInactivePeersGiveWay guards against strangers that keep out peers.
func TestInactivePeersGiveWay(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	g := &Guard{MaxConns: 3, Messages: true}
	guarded := g.Listener(ln)
	defer guarded.Close()
	// accept connects a client and returns both sides of the connection.
	accept := func() (*client, *PeerConn) {
		t.Helper()
		c := dial(t, ln.Addr().String(), "")
		conn, err := guarded.Accept()
		is.NoErr(err)
		peer, ok := conn.(*PeerConn)
		is.True(ok)
		return c, peer
	}
	early, earlyPeer := accept()
	late, latePeer := accept()
	latePeer.MarkActive()
	earlyPeer.MarkActive()
	stranger, _ := accept()
	next, nextPeer := accept()
	is.Equal(stranger.status(), 0)
	nextPeer.MarkActive()
	last, _ := accept()
	is.Equal(late.status(), 0) // its message is the oldest
	is.Equal(g.Len(), 3)
	for _, c := range []*client{early, next, last} {
		is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Millisecond)))
		_, err := c.reader.ReadByte()
		is.True(err != nil)
		timeout, ok := err.(net.Error)
		is.True(ok && timeout.Timeout()) // it is open
	}
}
