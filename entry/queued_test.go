package entry_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/access"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/entry"
	"lacewinghook.example/lacewinghook/trial"
)

// lateListener accepts nothing while late is set.
type lateListener struct {
	net.Listener
	late atomic.Bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	for l.late.Load() {
		time.Sleep(time.Millisecond)
	}
	return l.Listener.Accept()
}

// TestStopAcceptsQueuedConnections guards against a stop that resets the connections that
// wait to be accepted, because the machine stood still until the listener is closed.
func TestStopAcceptsQueuedConnections(t *testing.T) {
	is := is.New(t)
	// late is how much later than the end of the linger time the queued connections are
	// accepted.
	const linger, late = 500 * clock.Millis(1), 15 * time.Millisecond
	set, err := trial.Start(trial.Plan{Linger: 1})
	is.NoErr(err)
	t.Cleanup(set.Stop)
	e := &entry.Entry{Log: zap.NewNop(), Linger: linger, Settings: &config.Settings{
		Instance: "moose-jaw-9", Platform: config.Platform{Base: set.PlatformURL}, Tokens: []string{access.Digest(trial.OperatorToken)},
	}}
	for _, socket := range []*net.Listener{&e.Sockets.Callers, &e.Sockets.Operators, &e.Sockets.Peers} {
		*socket, err = net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
	}
	callers := &lateListener{Listener: e.Sockets.Callers}
	e.Sockets.Callers = callers
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	get := func() (int, error) {
		c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := c.Get("http://" + callers.Addr().String() + "/v1/healthz")
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}
	_, err = get()
	is.NoErr(err)
	stop()
	begun := time.Now()
	time.Sleep(linger.Duration() / 2)
	callers.late.Store(true)
	// An Accept that has begun before takes one more connection.
	_, err = get()
	is.NoErr(err)
	queued := make(chan error)
	go func() { _, err := get(); queued <- err }()
	time.Sleep(time.Until(begun.Add(linger.Duration() + late)))
	callers.late.Store(false)
	is.NoErr(<-queued)
	is.NoErr(<-done)
}
