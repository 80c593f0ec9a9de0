package entry_test

import (
	"context"
	"errors"
	"net"
	"net/http"
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

// testTimeout bounds each wait for a condition.
const testTimeout = 20 * time.Second

// failingListener accepts nothing once fail is closed.
type failingListener struct {
	net.Listener
	fail chan struct{}
}

// errFailed is the error of a failed listener.
var errFailed = errors.New("the listener has failed")

// Accept implements [net.Listener].
func (l failingListener) Accept() (net.Conn, error) {
	<-l.fail
	return nil, errFailed
}

// newEntry returns an entry in the cluster that isn't running yet.
func newEntry(t *testing.T, set *trial.Cluster) *entry.Entry {
	t.Helper()
	e := &entry.Entry{Log: zap.NewNop(), ResumeKey: trial.ResumeKey, Linger: 500, Settings: &config.Settings{
		Instance: "moose-jaw-9", Centre: trial.Centre, Platform: config.Platform{Base: set.PlatformURL}, Tokens: []string{access.Digest(trial.OperatorToken)},
	}}
	for _, socket := range []*net.Listener{&e.Sockets.Callers, &e.Sockets.Operators, &e.Sockets.Peers} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		*socket = ln
	}
	return e
}

// TestFailedPartCutsNothing guards against an entry that cuts its requests because one of
// its other listeners has failed.
func TestFailedPartCutsNothing(t *testing.T) {
	for name, signal := range map[string]bool{"before a stop": false, "during a stop": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			set, err := trial.Start(trial.Plan{Entries: 1, Services: 1, Linger: 1})
			is.NoErr(err)
			t.Cleanup(set.Stop)
			set.Services[0].CallDuration = clock.Second
			e := newEntry(t, set)
			caller := &trial.Client{Addr: e.Sockets.Callers.Addr().String(), Key: trial.CallerKey}
			fail := make(chan struct{})
			e.Sockets.Peers = failingListener{e.Sockets.Peers, fail}
			running, stop := context.WithCancel(ctx)
			defer stop()
			done := make(chan error, 1)
			go func() { done <- e.Run(running) }()
			is.NoErr(caller.WaitReady(ctx))
			called := make(chan error, 1)
			go func() {
				_, err := caller.CallService(ctx, http.MethodGet, "/stock/burr", "", nil)
				called <- err
			}()
			is.NoErr(trial.WaitUntil(ctx, func() bool { return len(set.Services[0].Runs()) > 0 }))
			if signal {
				stop()
			}
			close(fail)
			select {
			case err := <-called:
				is.NoErr(err)
			case <-done:
				t.Fatal("the process ends here, which would cut the request")
			}
			is.True(errors.Is(<-done, errFailed))
		})
	}
}
