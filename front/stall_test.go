package front

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/flow"
	"lacewinghook.example/lacewinghook/pubdoc"
	"lacewinghook.example/lacewinghook/token"
)

// endlessRunner is a [Runner] that sends tokens until a write fails, and then
// sends the error to writeErr.
type endlessRunner struct {
	writeErr chan error
}

// Run implements [Runner].
func (e endlessRunner) Run(_ context.Context, r *core.Request, sink flow.Sink) error {
	for n := 0; ; n++ {
		if err := sink.Token(core.Token{ID: r.ID, Offset: n, Text: "x"}); err != nil {
			e.writeErr <- err
			return codes.Wrap(codes.CallerGone, err, "caller")
		}
	}
}

// Resume implements [Runner].
func (e endlessRunner) Resume(context.Context, token.Resume, int, flow.Sink) error { return nil }

// singleConnListener is a [net.Listener] that accepts one unbuffered connection.
type singleConnListener struct {
	conn chan net.Conn
}

// Close implements [net.Listener].
func (l singleConnListener) Close() error { return nil }

// Addr implements [net.Listener].
func (l singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// Accept returns the connection, and an error on the second call.
func (l singleConnListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conn; ok {
		return c, nil
	}
	return nil, http.ErrServerClosed
}

// TestStalledCallerIsDropped guards against a request that holds engine memory
// for a caller that stopped reading its stream.
func TestStalledCallerIsDropped(t *testing.T) {
	is := is.New(t)
	active := &pubdoc.ActiveDocument{}
	active.Update(newDocument(1, "k"))
	runner := endlessRunner{writeErr: make(chan error, 1)}
	s := &Server{
		Runner: runner, Documents: active, IDs: &core.Sequence{}, Log: zap.NewNop(),
		Limits: config.Limits{Output: 100},
	}
	caller, served := net.Pipe()
	ln := singleConnListener{conn: make(chan net.Conn, 1)}
	ln.conn <- served
	close(ln.conn)
	go func() { _ = http.Serve(ln, s.Handler()) }()
	defer caller.Close()
	body := `{"model":"verse","prompt":"x","stream":true}`
	req, err := http.NewRequest(http.MethodPost, "http://entry/v1/completions", strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer k")
	is.NoErr(req.Write(caller))
	select {
	case err := <-runner.writeErr:
		is.True(err != nil)
	case <-time.After(10 * time.Second):
		is.Fail() // The write hasn't timed out.
	}
}
