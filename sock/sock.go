package sock

import (
	"context"
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"lacewinghook.example/lacewinghook/clock"
)

// Timeouts of a connection.
const (
	// unackedTimeout limits how long sent data, or a keep-alive probe, may remain
	// unacknowledged. A sound host may stand still for a second or so.
	unackedTimeout clock.Millis = 2500
	// callerTimeout replaces unackedTimeout for connections of callers. The kernel also
	// applies it to a peer that acknowledges, but has no room for more data: it is longer
	// than package hserv waits for a caller that doesn't read.
	callerTimeout = 6 * clock.Second
	// keepAliveIdle is the idle time before the first keep-alive probe, and
	// keepAliveInterval the time between probes. Both are 1 s, the smallest value
	// that the kernel accepts. The connection fails after keepAliveCount
	// unanswered probes.
	keepAliveIdle     = 1 * clock.Second
	keepAliveInterval = 1 * clock.Second
	keepAliveCount    = 2
)

// maxUnsentBytes is how much the kernel holds for a caller that isn't ready to receive it. A
// blocked write goes on once half of it is sent. Without it that would be a third of a send
// buffer of up to 4 MiB, which a slow caller doesn't read within the time for one write. What
// the kernel holds is delivered also after the process has ended, so that it isn't smaller.
const maxUnsentBytes = 512 << 10

// Dialer returns a dialer that fails if a connection isn't established within
// timeout.
func Dialer(timeout clock.Millis) *net.Dialer {
	return &net.Dialer{Timeout: timeout.Duration(), KeepAliveConfig: keepAlive(), Control: control}
}

// Listen opens a TCP listener. Its connections fail if the client stops
// responding.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: control}
	return c.Listen(ctx, "tcp", addr)
}

// ListenCallers opens a TCP listener for callers, which may stop reading for as long as
// package hserv allows. Its connections fail if a caller's host stops responding.
func ListenCallers(ctx context.Context, addr string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: func(_, _ string, raw syscall.RawConn) error {
		return errors.Join(setOption(raw, unix.TCP_USER_TIMEOUT, int(callerTimeout)), setOption(raw, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes))
	}}
	return c.Listen(ctx, "tcp", addr)
}

// keepAlive returns the keep-alive settings of all connections.
func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle.Duration(), Interval: keepAliveInterval.Duration(), Count: keepAliveCount}
}

// control sets TCP_USER_TIMEOUT to unackedTimeout. Accepted connections inherit
// the options from their listener.
func control(_, _ string, raw syscall.RawConn) error {
	return setOption(raw, unix.TCP_USER_TIMEOUT, int(unackedTimeout))
}

// setOption sets an option of a TCP socket.
func setOption(raw syscall.RawConn, name, value int) error {
	var optErr error
	err := raw.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, name, value) })
	return errors.Join(err, optErr)
}

// Pending returns how many received bytes of c have not been read, and how many sent bytes
// have not been acknowledged by the peer. Closing a connection with unread bytes resets
// it, and the peer may then lose what it has not received.
func Pending(c syscall.Conn) (unread, unsent int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, 0, err
	}
	var inErr, outErr error
	err = raw.Control(func(fd uintptr) {
		unread, inErr = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		unsent, outErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return unread, unsent, errors.Join(err, inErr, outErr)
}

// SinceReceived returns the time since this host last received data on c, or zero if the
// kernel doesn't tell. Its resolution is a few milliseconds.
func SinceReceived(c syscall.Conn) clock.Millis {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	var optErr error
	err = raw.Control(func(fd uintptr) { info, optErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || optErr != nil {
		return 0
	}
	return clock.Millis(info.Last_data_recv)
}

// PeerClosed reports whether this host has received the end of what the peer of c sends, or
// a reset, even if bytes before it are unread. It asks the kernel and doesn't block, and
// returns false if the kernel doesn't tell. It is true for a connection that was closed here.
// A peer that has closed only its sending side can't be told from one that has left.
func PeerClosed(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil
}
