package sock

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"lacewinghook.example/lacewinghook/clock"
)

// Times of a connection.
const (
	// unackedTime is how long written bytes may stay unacknowledged: several
	// retransmissions at the round trips of one region.
	unackedTime clock.Millis = 1500
	// probeAfter and probeEvery are the times of keep-alive probes in whole
	// seconds, the least that the kernel takes; probeCount is how many may go
	// unanswered.
	probeAfter = 1 * clock.Second
	probeEvery = 1 * clock.Second
	probeCount = 2
)

// Dialer returns a dialer whose connections are set up within the time.
func Dialer(limit clock.Millis) *net.Dialer {
	return &net.Dialer{Timeout: limit.Std(), KeepAliveConfig: keepAlive(), Control: control}
}

// Listen opens a listener whose connections notice a silent caller.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: control}
	return c.Listen(ctx, "tcp", addr)
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeAfter.Std(), Interval: probeEvery.Std(), Count: probeCount}
}

// control bounds the time for which written bytes stay unacknowledged. What
// is set on a listener holds for its connections too.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTime))
	})
	if err != nil {
		return err
	}
	return failed
}
