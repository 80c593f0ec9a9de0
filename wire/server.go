package wire

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/cert"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/drain"
	"lacewinghook.example/lacewinghook/member"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/spool"
)

// Handler responds to the calls of other entries.
type Handler interface {
	// Heartbeat accepts a peer's heartbeat and returns this entry's own.
	Heartbeat(ctx context.Context, h member.Heartbeat) (member.Heartbeat, error)
	// Document returns the active document of this entry.
	Document(ctx context.Context) (*core.Document, error)
	// Drains returns the active drains of this entry.
	Drains(ctx context.Context) (drain.Snapshot, error)
}

// MethodHandler responds to the calls of one method.
type MethodHandler func(ctx context.Context, params json.RawMessage) (any, error)

// TypedHandler adapts a function with a typed argument and result to a
// [MethodHandler].
func TypedHandler[In, Out any](f func(context.Context, In) (Out, error)) MethodHandler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, in)
	}
}

// notificationHandler adapts a function that takes a notification, which has no
// response, to a [MethodHandler].
func notificationHandler[In any](f func(In)) MethodHandler {
	return func(_ context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, err
		}
		f(in)
		return nil, nil
	}
}

// Server serves the calls of other entries.
type Server struct {
	// Handler serves the heartbeat, document and drains calls. If it is nil,
	// these methods are unknown.
	Handler Handler
	// Methods adds methods, and overrides those of Handler.
	Methods map[Method]MethodHandler
	// Blocking lists the methods whose calls may wait. They are handled beside the
	// other calls on their connection, which are handled in order.
	Blocking []Method
	// Certs, if not nil, enables TLS and requires a certificate of every peer.
	Certs *cert.Source
	// Held, if not nil, bounds the bytes of the requests that are being read. The
	// connection with the largest is closed if there are too many.
	Held *spool.Pool
	// Meter, if not nil, counts the messages and their bytes by method.
	Meter *meter.Registry
	// Log may be nil.
	Log *zap.Logger
}

// Serve accepts connections from ln and serves them until ctx is done. Their number is up to
// ln.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	methods := s.methods()
	for {
		raw, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if isResourceError(err) {
			if s.Log != nil {
				s.Log.Warn("wire: accepting a peer failed", zap.Error(err))
			}
			if (clock.Clock{}).Sleep(ctx, acceptPause) != nil {
				return nil
			}
			continue
		}
		if err != nil {
			return codes.Wrap(codes.Internal, err, "accept on the peer listener")
		}
		go s.serve(ctx, raw, methods)
	}
}

// acceptPause is the pause after the process or the machine had no resources for another
// connection.
const acceptPause clock.Millis = 100

// isResourceError reports whether a listener can accept connections again once others are
// closed.
func isResourceError(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// serve handles the calls on one connection until it is closed.
func (s *Server) serve(ctx context.Context, raw net.Conn, methods map[Method]MethodHandler) {
	caller, conn, err := s.handshake(ctx, raw)
	if err != nil {
		_ = raw.Close()
		if s.Log != nil {
			s.Log.Warn("wire: peer handshake failed", zap.Stringer("peer", raw.RemoteAddr()), zap.Error(err))
		}
		return
	}
	ctx = context.WithValue(ctx, callerKey{}, caller)
	h := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		s.noteMessage(methods, r, raw)
		return dispatch(ctx, methods, r)
	}).SuppressErrClosed()
	rpc := jsonrpc2.NewConn(ctx, newStream(conn, maxRequestBytes, s.Held), orderedHandler{h, s.Blocking}, jsonrpc2.SetLogger(logger{s.Log}))
	<-rpc.DisconnectNotify()
}

// orderedHandler handles the calls of a connection in order, but for those of the
// blocking methods, which get a goroutine each.
type orderedHandler struct {
	jsonrpc2.Handler
	blocking []Method
}

// Handle implements [jsonrpc2.Handler].
func (h orderedHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if slices.Contains(h.blocking, Method(r.Method)) {
		go h.Handler.Handle(ctx, conn, r)
		return
	}
	h.Handler.Handle(ctx, conn, r)
}

// handshake performs the TLS handshake, if TLS is enabled, and returns the
// identity of the caller and the connection to use.
func (s *Server) handshake(ctx context.Context, raw net.Conn) (Caller, net.Conn, error) {
	if s.Certs == nil {
		return Caller{Unauthenticated: true}, raw, nil
	}
	limited := newHandshakeConn(raw, s.Held)
	defer limited.end()
	conn := tls.Server(limited, s.Certs.ServerConfig())
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout.Duration())
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return Caller{}, nil, err
	}
	var c Caller
	for _, leaf := range conn.ConnectionState().PeerCertificates[:1] {
		c.Names = append(leaf.DNSNames, leaf.Subject.CommonName)
	}
	return c, conn, nil
}

// methods returns the handlers of all methods served.
func (s *Server) methods() map[Method]MethodHandler {
	all := map[Method]MethodHandler{}
	if s.Handler != nil {
		all = s.handlerMethods()
	}
	for m, f := range s.Methods {
		all[m] = f
	}
	return all
}

// handlerMethods returns the method handlers backed by s.Handler.
func (s *Server) handlerMethods() map[Method]MethodHandler {
	return map[Method]MethodHandler{
		MethodHeartbeat: TypedHandler(s.handleHeartbeat),
		MethodDocument: TypedHandler(func(ctx context.Context, _ struct{}) (*core.Document, error) {
			return s.Handler.Document(ctx)
		}),
		MethodDrains: TypedHandler(func(ctx context.Context, _ struct{}) (drain.Snapshot, error) {
			return s.Handler.Drains(ctx)
		}),
	}
}

// handleHeartbeat accepts a heartbeat only if the caller's certificate belongs to
// the instance that the heartbeat describes.
func (s *Server) handleHeartbeat(ctx context.Context, h member.Heartbeat) (member.Heartbeat, error) {
	if !CallerFromContext(ctx).MayActAs(h.Instance.Name) {
		return member.Heartbeat{}, codes.New(codes.Unauthorized, "the caller's certificate does not belong to instance %q", h.Instance.Name)
	}
	return s.Handler.Heartbeat(ctx, h)
}

// activeConn is a connection whose listener closes inactive connections first.
type activeConn interface {
	// MarkActive notes that a valid message has arrived.
	MarkActive()
}

// noteMessage counts a message of a known method and marks its connection as active.
func (s *Server) noteMessage(methods map[Method]MethodHandler, r *jsonrpc2.Request, conn net.Conn) {
	if _, ok := methods[Method(r.Method)]; !ok || r.Params == nil {
		return
	}
	if a, ok := conn.(activeConn); ok {
		a.MarkActive()
	}
	s.Meter.Add("peer_messages_total", 1, "method", r.Method)
	s.Meter.Add("peer_bytes_total", len(*r.Params), "method", r.Method)
}

// dispatch runs the handler of the requested method.
func dispatch(ctx context.Context, methods map[Method]MethodHandler, r *jsonrpc2.Request) (any, error) {
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

// toRPC converts err to a JSON-RPC error whose code is the result code.
func toRPC(err error) error {
	var rpc *jsonrpc2.Error
	if err == nil || errors.As(err, &rpc) {
		return err
	}
	e := codes.From(err)
	return &jsonrpc2.Error{Code: int64(e.Code), Message: e.Message}
}

// fromRPC reverses [toRPC]. Errors with a code outside of [codes.Table], such as
// those of the JSON-RPC library, become [codes.Internal].
func fromRPC(e *jsonrpc2.Error) error {
	if _, ok := codes.Table[codes.Code(e.Code)]; ok {
		return codes.New(codes.Code(e.Code), "%s", e.Message)
	}
	return codes.Wrap(codes.Internal, e, "peer")
}

// Caller identifies the entry that made a call.
type Caller struct {
	// Names are the DNS names and the common name of its certificate.
	Names []string
	// Unauthenticated is set on connections without TLS, whose caller is unknown.
	Unauthenticated bool
}

// MayActAs reports whether the caller may send messages on behalf of instance.
// Without TLS every caller may.
func (c Caller) MayActAs(instance string) bool {
	if c.Unauthenticated {
		return true
	}
	for _, n := range c.Names {
		if n == instance && n != "" {
			return true
		}
	}
	return false
}

// callerKey is the context key of the [Caller].
type callerKey struct{}

// CallerFromContext returns the caller of the call that ctx belongs to.
func CallerFromContext(ctx context.Context) Caller {
	c, _ := ctx.Value(callerKey{}).(Caller)
	return c
}

// logger logs the messages of the JSON-RPC library. It logs only their format
// strings, because the arguments may contain data sent by a peer.
type logger struct {
	log *zap.Logger
}

// Printf implements [jsonrpc2.Logger].
func (l logger) Printf(format string, _ ...any) {
	if l.log != nil {
		l.log.Debug("wire: " + format)
	}
}

// deadlineAfter returns the wall-clock time d from now, for socket deadlines.
func deadlineAfter(d clock.Millis) time.Time {
	return time.Now().Add(d.Duration())
}
