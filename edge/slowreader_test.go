package edge_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowConn reads about 100 KB/s until the given time.
type slowConn struct {
	net.Conn
	until time.Time
}

// Read implements [net.Conn].
func (c *slowConn) Read(p []byte) (int, error) {
	if time.Now().Before(c.until) {
		time.Sleep(20 * time.Millisecond)
		p = p[:min(len(p), 2<<10)]
	}
	return c.Conn.Read(p)
}

// TestSlowReaderGetsAnswer guards against a connection that the entry closes although its
// caller reads all the time.
func TestSlowReaderGetsAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	s.realSockets()
	s.publish(2, 1000, goodRoute)
	body := strings.Repeat("x", 6<<20)
	for _, d := range s.services {
		d.Body = body
	}
	r := s.startReady()
	conn := r.dial(t)
	_, err := io.WriteString(conn, strings.Replace(lateRequest(1, "/slow/a"), "Deadline-Ms: 9000", "Deadline-Ms: 14000", 1))
	is.NoErr(err)
	begun := time.Now()
	got := readAnswer(&slowConn{Conn: conn, until: begun.Add(7 * time.Second)})
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(len(got.body), len(body))
}
