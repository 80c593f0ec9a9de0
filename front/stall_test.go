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

// endless is a [Runner] that sends tokens until a write fails, and then sends
// the error to gone.
type endless struct {
	gone chan error
}

func (e endless) Run(_ context.Context, r *core.Request, sink flow.Sink) error {
	for n := 0; ; n++ {
		if err := sink.Token(core.Token{ID: r.ID, Offset: n, Text: "x"}); err != nil {
			e.gone <- err
			return codes.Wrap(codes.CallerGone, err, "caller")
		}
	}
}

func (e endless) Resume(context.Context, token.Resume, int, flow.Sink) error { return nil }

// pipes is a listener that accepts one unbuffered connection.
type pipes struct {
	conn chan net.Conn
}

func (p pipes) Close() error { return nil }

func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipes) Accept() (net.Conn, error) {
	if c, ok := <-p.conn; ok {
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
	runner := endless{gone: make(chan error, 1)}
	s := &Server{
		Runner: runner, Documents: active, IDs: &core.Sequence{}, Log: zap.NewNop(),
		Limits: config.Limits{Output: 100},
	}
	caller, served := net.Pipe()
	ln := pipes{conn: make(chan net.Conn, 1)}
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
	case err := <-runner.gone:
		is.True(err != nil)
	case <-time.After(10 * time.Second):
		is.Fail() // The write hasn't timed out.
	}
}
