package sock_test

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/sock"
)

// option returns the value of a socket option of c.
func option(t *testing.T, c net.Conn, level, name int) int {
	t.Helper()
	is := is.New(t)
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	var got int
	var optErr error
	is.NoErr(raw.Control(func(fd uintptr) { got, optErr = unix.GetsockoptInt(int(fd), level, name) }))
	is.NoErr(optErr)
	return got
}

// TestSilentConnectionsEnd checks the socket options by which the kernel closes
// a connection within seconds if the peer stops responding. TCP_USER_TIMEOUT
// covers sent data, keep-alive an idle connection. Both are needed on dialed and
// accepted connections.
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
	// A silent instance counts as impaired for 3 s. Its connections must end within
	// that time.
	const maxSilence = 3 * clock.Second
	// A sound host may stand still for a second or so. Its connections must not end.
	const minSilence = 2 * clock.Second
	for name, c := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			unacked := clock.Millis(option(t, c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))
			is.True(unacked > minSilence && unacked <= maxSilence)
			is.True(option(t, c, unix.SOL_SOCKET, unix.SO_KEEPALIVE) != 0)
			idle := option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
			interval := option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
			count := option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
			is.True(clock.Millis(idle+interval*count)*clock.Second <= maxSilence)
		})
	}
}

// TestPending checks that unread and unacknowledged bytes are counted.
func TestPending(t *testing.T) {
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
	_, err = dialed.Write([]byte("request"))
	is.NoErr(err)
	one := make([]byte, 1)
	_, err = accepted.Read(one)
	is.NoErr(err)
	unread, unsent, err := sock.Pending(accepted.(*net.TCPConn))
	is.NoErr(err)
	is.Equal(unread, len("request")-1)
	is.Equal(unsent, 0)
	// The peer doesn't read, so that some of what is sent stays unacknowledged. A write whose
	// deadline has passed before it began sends nothing.
	data := make([]byte, 64<<20)
	for unsent == 0 {
		is.NoErr(accepted.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)))
		_, err = accepted.Write(data)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		_, unsent, err = sock.Pending(accepted.(*net.TCPConn))
		is.NoErr(err)
	}
}

// callerPair returns both ends of a connection of a caller.
func callerPair(t *testing.T) (dialed, accepted *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	ln, err := sock.ListenCallers(t.Context(), "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	a, err := ln.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = a.Close() })
	return c.(*net.TCPConn), a.(*net.TCPConn)
}

// TestCallersMayPause checks that the kernel closes a caller's connection later than
// package hserv, which waits 5 s for a caller that doesn't read.
func TestCallersMayPause(t *testing.T) {
	is := is.New(t)
	_, c := callerPair(t)
	unacked := clock.Millis(option(t, c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))
	is.True(unacked > 5*clock.Second && unacked <= 7*clock.Second)
	is.True(option(t, c, unix.SOL_SOCKET, unix.SO_KEEPALIVE) != 0)
}

// TestPeerClosed checks that a close is known before what precedes it was read.
func TestPeerClosed(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(*net.TCPConn) error
		want bool
	}{
		"open":                {func(*net.TCPConn) error { return nil }, false},
		"closed":              {(*net.TCPConn).Close, true},
		"sending side closed": {(*net.TCPConn).CloseWrite, true},
		"reset":               {func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dialed, accepted := callerPair(t)
			_, err := dialed.Write([]byte("request"))
			is.NoErr(err)
			is.True(!sock.PeerClosed(accepted))
			is.NoErr(c.end(dialed))
			is.Equal(sock.PeerClosed(accepted), c.want)
			is.NoErr(accepted.Close())
			is.True(sock.PeerClosed(accepted))
		})
	}
}

// TestSinceReceived checks the time since data was received.
func TestSinceReceived(t *testing.T) {
	is := is.New(t)
	dialed, accepted := callerPair(t)
	const pause = 60 * time.Millisecond
	begun := time.Now()
	_, err := dialed.Write([]byte("request"))
	is.NoErr(err)
	time.Sleep(pause)
	got := sock.SinceReceived(accepted).Duration()
	is.True(got >= pause-20*time.Millisecond && got <= time.Since(begun)+20*time.Millisecond)
	is.NoErr(accepted.Close())
	is.Equal(sock.SinceReceived(accepted), clock.Millis(0))
}
