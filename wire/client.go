package wire

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/cert"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/drain"
	"lacewinghook.example/lacewinghook/member"
	"lacewinghook.example/lacewinghook/shard"
	"lacewinghook.example/lacewinghook/sock"
)

// Method is the name of a call between entries.
type Method string

// The calls between entries.
const (
	MethodBeat     Method = "beat"
	MethodDocument Method = "document"
	MethodDrains   Method = "drains"
)

// Times of a call between entries.
const (
	callTimeout = 1 * clock.Second
	// bulkTimeout bounds the fetch of a document.
	bulkTimeout = 5 * clock.Second
)

// Names tells which instance listens at a peer address.
type Names interface {
	NameOf(addr string) (string, bool)
}

// Client calls other entries. It keeps one connection to each. The zero value
// works; Close ends it.
type Client struct {
	// Certs, if not nil, is what the client shows, and whose authority the
	// peers must be signed by.
	Certs *cert.Source
	// Names, if not nil, is used to check that the peer at an address is the
	// instance that is known to be there.
	Names Names
	// Log may be nil.
	Log *zap.Logger

	links shard.Map[string, *link]
}

// link is the connection to one peer. Its lock covers only the pointer.
type link struct {
	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// Beat sends a heartbeat and returns the peer's own.
func (c *Client) Beat(ctx context.Context, addr string, b member.Heartbeat) (member.Heartbeat, error) {
	var answer member.Heartbeat
	err := c.call(ctx, addr, MethodBeat, b, &answer)
	return answer, err
}

// Document returns the document that the peer has in force.
func (c *Client) Document(ctx context.Context, addr string) (*core.Document, error) {
	doc := &core.Document{}
	if err := c.timed(ctx, bulkTimeout, addr, MethodDocument, struct{}{}, doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// Drains returns the drains that the peer has in force.
func (c *Client) Drains(ctx context.Context, addr string) (drain.Set, error) {
	var s drain.Set
	err := c.call(ctx, addr, MethodDrains, struct{}{}, &s)
	return s, err
}

// Close closes all connections.
func (c *Client) Close() {
	c.links.Each(func(_ string, l *link) bool {
		l.drop(nil)
		return false
	})
}

func (c *Client) call(ctx context.Context, addr string, m Method, in, out any) error {
	return c.timed(ctx, callTimeout, addr, m, in, out)
}

// timed makes one call. A failure of the connection drops it; an error that
// the peer answered with doesn't.
func (c *Client) timed(ctx context.Context, timeout clock.Millis, addr string, m Method, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Std())
	defer cancel()
	return c.on(ctx, addr, func(conn *jsonrpc2.Conn) error {
		return conn.Call(ctx, string(m), in, out)
	})
}

// notify sends a message that has no answer.
func (c *Client) notify(ctx context.Context, addr string, m Method, in any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Std())
	defer cancel()
	return c.on(ctx, addr, func(conn *jsonrpc2.Conn) error {
		return conn.Notify(ctx, string(m), in)
	})
}

// on calls f with the connection to the peer at addr, which is dropped if f
// fails in another way than by the peer's answer.
func (c *Client) on(ctx context.Context, addr string, f func(*jsonrpc2.Conn) error) error {
	l := c.link(addr)
	conn, err := c.open(ctx, l, addr)
	if err != nil {
		return codes.Wrap(codes.CutOff, err, "peer %s", addr)
	}
	err = f(conn)
	var answered *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &answered):
		return fromRPC(answered)
	}
	l.drop(conn)
	return codes.Wrap(codes.CutOff, err, "peer %s", addr)
}

// maxLinks bounds the kept connections; the links of peers that are gone are
// the ones that pile up.
const maxLinks = 1024

func (c *Client) link(addr string) *link {
	if c.links.Len() > maxLinks {
		c.links.Each(func(_ string, l *link) bool { return l.used() })
	}
	return c.links.Ensure(addr, func() *link { return &link{} })
}

// open returns the link's connection, or a new one. Two callers at once may
// both dial; the later one's connection is dropped.
func (c *Client) open(ctx context.Context, l *link, addr string) (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	raw, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	fresh := jsonrpc2.NewConn(context.WithoutCancel(ctx), newStream(raw, maxAnswerBytes), nothing{},
		jsonrpc2.SetLogger(logger{c.Log}))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		go fresh.Close()
		return l.conn, nil
	}
	l.conn = fresh
	go l.watch(fresh)
	return fresh, nil
}

// dial connects, and checks who answers.
func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	raw, err := sock.Dialer(callTimeout).DialContext(ctx, "tcp", addr)
	if err != nil || c.Certs == nil {
		return raw, err
	}
	cfg := c.Certs.Client()
	c.expect(cfg, addr)
	conn := tls.Client(raw, cfg)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// expect makes cfg accept only the instance that is known to be at addr. An
// address of the settings, whose instance isn't known yet, must still show a
// certificate of the authority.
func (c *Client) expect(cfg *tls.Config, addr string) {
	if c.Names != nil {
		if name, ok := c.Names.NameOf(addr); ok {
			cfg.ServerName = name
			return
		}
	}
	roots := cfg.RootCAs
	cfg.InsecureSkipVerify = true // VerifyConnection takes its place.
	cfg.VerifyConnection = func(st tls.ConnectionState) error {
		rest := x509.NewCertPool()
		for _, other := range st.PeerCertificates[1:] {
			rest.AddCert(other)
		}
		_, err := st.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: rest})
		return err
	}
}

// watch forgets a connection that ended.
func (l *link) watch(conn *jsonrpc2.Conn) {
	<-conn.DisconnectNotify()
	l.drop(conn)
}

func (l *link) used() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil
}

// drop closes the connection; conn, if not nil, names the one that failed.
func (l *link) drop(conn *jsonrpc2.Conn) {
	l.mu.Lock()
	old := l.conn
	if conn != nil && old != conn {
		l.mu.Unlock()
		return
	}
	l.conn = nil
	l.mu.Unlock()
	if old != nil {
		_ = old.Close()
	}
}

// nothing answers no call: peers call each other on connections of their own.
type nothing struct{}

// Handle implements [jsonrpc2.Handler].
func (nothing) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
