package wire

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"lacewinghook.example/lacewinghook/cert"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/drain"
	"lacewinghook.example/lacewinghook/member"
)

// Handler decides the answers to other entries' calls.
type Handler interface {
	// Beat takes a peer's heartbeat and returns this entry's own.
	Beat(ctx context.Context, b member.Heartbeat) (member.Heartbeat, error)
	// Document returns the document in force here.
	Document(ctx context.Context) (*core.Document, error)
	// Drains returns the drains in force here.
	Drains(ctx context.Context) (drain.Set, error)
}

// Func answers the calls of one method.
type Func func(ctx context.Context, params json.RawMessage) (any, error)

// Answer makes a [Func] of a function with a typed argument and result.
func Answer[In, Out any](f func(context.Context, In) (Out, error)) Func {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, in)
	}
}

// Server answers other entries. Handler may be nil, which leaves its methods
// out.
type Server struct {
	Handler Handler
	// Methods holds further methods.
	Methods map[Method]Func
	// Certs, if not nil, makes every peer show a certificate.
	Certs *cert.Source
	// Log may be nil.
	Log *zap.Logger
}

// maxConns bounds the connections of peers.
const maxConns = 1024

// Serve answers on every connection of ln until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	methods := s.methods()
	places := semaphore.NewWeighted(maxConns)
	for {
		raw, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return codes.Wrap(codes.Internal, err, "peers' listener")
		}
		if !places.TryAcquire(1) {
			_ = raw.Close()
			continue
		}
		go func() {
			defer places.Release(1)
			s.serve(ctx, raw, methods)
		}()
	}
}

// serve answers on one connection until it ends.
func (s *Server) serve(ctx context.Context, raw net.Conn, methods map[Method]Func) {
	caller, conn, err := s.accept(ctx, raw)
	if err != nil {
		_ = raw.Close()
		if s.Log != nil {
			s.Log.Warn("wire: a peer was refused", zap.Stringer("peer", raw.RemoteAddr()), zap.Error(err))
		}
		return
	}
	ctx = context.WithValue(ctx, callerKey{}, caller)
	h := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		return answer(ctx, methods, r)
	}).SuppressErrClosed()
	rpc := jsonrpc2.NewConn(ctx, newStream(conn, maxCallBytes), h, jsonrpc2.SetLogger(logger{s.Log}))
	<-rpc.DisconnectNotify()
}

// accept sets up TLS, if there is any, and tells who calls.
func (s *Server) accept(ctx context.Context, raw net.Conn) (Caller, net.Conn, error) {
	if s.Certs == nil {
		return Caller{Plain: true}, raw, nil
	}
	conn := tls.Server(raw, s.Certs.Server())
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout.Std())
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return Caller{}, nil, err
	}
	var c Caller
	for _, shown := range conn.ConnectionState().PeerCertificates[:1] {
		c.Names = append(shown.DNSNames, shown.Subject.CommonName)
	}
	return c, conn, nil
}

func (s *Server) methods() map[Method]Func {
	all := map[Method]Func{}
	if s.Handler != nil {
		all = s.handlerMethods()
	}
	for m, f := range s.Methods {
		all[m] = f
	}
	return all
}

func (s *Server) handlerMethods() map[Method]Func {
	return map[Method]Func{
		MethodBeat: Answer(s.beat),
		MethodDocument: Answer(func(ctx context.Context, _ struct{}) (*core.Document, error) {
			return s.Handler.Document(ctx)
		}),
		MethodDrains: Answer(func(ctx context.Context, _ struct{}) (drain.Set, error) {
			return s.Handler.Drains(ctx)
		}),
	}
}

// beat takes a heartbeat only from the instance that it tells of.
func (s *Server) beat(ctx context.Context, b member.Heartbeat) (member.Heartbeat, error) {
	if !CallerOf(ctx).Is(b.Instance.Name) {
		return member.Heartbeat{}, codes.New(codes.Unauthorized, "the certificate is not that of %q", b.Instance.Name)
	}
	return s.Handler.Beat(ctx, b)
}

func answer(ctx context.Context, methods map[Method]Func, r *jsonrpc2.Request) (any, error) {
	f, ok := methods[Method(r.Method)]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
	}
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "params: missing"}
	}
	v, err := f(ctx, *r.Params)
	return v, toRPC(err)
}

// toRPC gives an error its result code as the number.
func toRPC(err error) error {
	var rpc *jsonrpc2.Error
	if err == nil || errors.As(err, &rpc) {
		return err
	}
	e := codes.From(err)
	return &jsonrpc2.Error{Code: int64(e.Code), Message: e.Message}
}

// fromRPC is the reverse of [toRPC].
func fromRPC(e *jsonrpc2.Error) error {
	if _, ok := codes.Table[codes.Code(e.Code)]; ok {
		return codes.New(codes.Code(e.Code), "%s", e.Message)
	}
	return codes.Wrap(codes.Internal, e, "peer")
}

// Caller is the entry that calls.
type Caller struct {
	// Names are those in its certificate.
	Names []string
	// Plain says that the connection is without TLS, and the caller unknown.
	Plain bool
}

// Is reports whether the caller may speak for the instance.
func (c Caller) Is(instance string) bool {
	if c.Plain {
		return true
	}
	for _, n := range c.Names {
		if n == instance && n != "" {
			return true
		}
	}
	return false
}

type callerKey struct{}

// CallerOf returns the entry whose call is being answered under ctx.
func CallerOf(ctx context.Context) Caller {
	c, _ := ctx.Value(callerKey{}).(Caller)
	return c
}

// logger hands the library's notes to the log. They may quote what a peer
// sent, and so only their format is kept.
type logger struct {
	log *zap.Logger
}

// Printf implements [jsonrpc2.Logger].
func (l logger) Printf(format string, _ ...any) {
	if l.log != nil {
		l.log.Debug("wire: " + format)
	}
}

func deadline(d clock.Millis) time.Time {
	return time.Now().Add(d.Std())
}
