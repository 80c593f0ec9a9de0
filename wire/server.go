package wire

import (
	"context"
	"encoding/json"
	"io"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/member"
)

// Handler decides the answers to other entries' calls.
type Handler interface {
	// Beat takes a peer's heartbeat and returns this entry's own.
	Beat(ctx context.Context, b member.Beat) (member.Beat, error)
}

// Server answers other entries. Handler is needed.
type Server struct {
	Handler Handler
}

// Serve answers on every connection of ln until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		raw, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return codes.Wrap(codes.Internal, err, "peers' listener")
		}
		conn := jsonrpc2.NewConn(ctx, newStream(raw), jsonrpc2.HandlerWithError(s.handle))
		context.AfterFunc(ctx, func() { _ = conn.Close() })
	}
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	switch Method(r.Method) {
	case MethodBeat:
		var b member.Beat
		if err := params(r, &b); err != nil {
			return nil, err
		}
		return s.Handler.Beat(ctx, b)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

func params(r *jsonrpc2.Request, v any) error {
	if r.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "params: missing"}
	}
	if err := json.Unmarshal(*r.Params, v); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

// maxConnBytes bounds what is read from one connection before it must be
// opened anew, so that no peer can make an entry read without end.
const maxConnBytes = 1 << 30

// newStream frames messages as one JSON value after another.
func newStream(raw net.Conn) jsonrpc2.ObjectStream {
	bounded := struct {
		io.Reader
		io.Writer
		io.Closer
	}{io.LimitReader(raw, maxConnBytes), raw, raw}
	return jsonrpc2.NewPlainObjectStream(bounded)
}
