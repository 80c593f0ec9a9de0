package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"lacewinghook.example/lacewinghook/trial"
)

// TestClosedConnectionDeliversAnswer guards against a connection that is reset at the end of
// its last answer, which is lost in part, because its caller has sent more since.
func TestClosedConnectionDeliversAnswer(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	set, err := trial.Start(trial.Plan{Entries: 1, Services: 1, Linger: 1})
	is.NoErr(err)
	t.Cleanup(set.Stop)
	// The buffers of the connection hold the answer only in part until the caller reads.
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		if err := raw.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) }); err != nil {
			return err
		}
		return optErr
	}}
	conn, err := d.DialContext(ctx, "tcp", set.Entries[0].Addr)
	is.NoErr(err)
	defer conn.Close()
	body := strings.Repeat("x", 60<<10)
	request := fmt.Sprintf("POST /v1/services/%s/orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: k\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		trial.Service, trial.CallerKey, len(body), body)
	_, err = io.WriteString(conn, request+request)
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(strings.Contains(string(answer), body))
}
