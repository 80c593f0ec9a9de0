package sock_test

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/sock"
)

// option returns an option of a connection's socket.
func option(t *testing.T, c net.Conn, level, name int) int {
	t.Helper()
	is := is.New(t)
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	var got int
	var failed error
	is.NoErr(raw.Control(func(fd uintptr) { got, failed = unix.GetsockoptInt(int(fd), level, name) }))
	is.NoErr(failed)
	return got
}

// TestSilentConnectionsEnd looks at what the kernel is told: a connection on
// which nothing comes back any more ends within seconds, whether something was
// written to it or not, on both sides.
func TestSilentConnectionsEnd(t *testing.T) {
	is := is.New(t)
	ln, err := sock.Listen(t.Context(), "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	dialed, err := sock.Dialer(clock.Second).DialContext(t.Context(), "tcp", ln.Addr().String())
	is.NoErr(err)
	defer dialed.Close()
	accepted, err := ln.Accept()
	is.NoErr(err)
	defer accepted.Close()
	const most = 3 * clock.Second // as long as an instance counts as harmed
	for name, c := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			unacked := clock.Millis(option(t, c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))
			is.True(unacked > 0 && unacked <= most)
			is.True(option(t, c, unix.SOL_SOCKET, unix.SO_KEEPALIVE) != 0)
			idle := option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
			every := option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
			count := option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
			is.True(clock.Millis(idle+every*count)*clock.Second <= most)
		})
	}
}
