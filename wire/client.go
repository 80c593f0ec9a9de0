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

// Method is the JSON-RPC method name of a call between entries.
type Method string

// The methods of [Handler].
const (
	MethodHeartbeat Method = "beat"
	MethodDocument  Method = "document"
	MethodDrains    Method = "drains"
)

// Timeouts of calls between entries.
const (
	callTimeout = 1 * clock.Second
	// bulkTimeout bounds calls with large responses: documents and snapshots.
	bulkTimeout = 5 * clock.Second
)

// InstanceResolver maps a peer address to the name of its instance.
type InstanceResolver interface {
	NameOf(addr string) (string, bool)
}

// Client calls other entries over one persistent connection per peer. The zero
// value is ready to use. Close releases its connections.
type Client struct {
	// Certs, if not nil, enables TLS. It holds the client's certificate and the
	// authority that must have signed the peers' certificates.
	Certs *cert.Source
	// Names, if not nil, supplies the instance name that the certificate of the
	// peer at an address must carry.
	Names InstanceResolver
	// Log receives debug messages of the JSON-RPC library. It may be nil.
	Log *zap.Logger

	links shard.Map[string, *link]
}

// link holds the connection to one peer, nil while disconnected. mu guards only
// the pointer and isn't held during a dial or a call.
type link struct {
	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// Heartbeat sends a heartbeat and returns the peer's own.
func (c *Client) Heartbeat(ctx context.Context, addr string, h member.Heartbeat) (member.Heartbeat, error) {
	var reply member.Heartbeat
	err := c.call(ctx, addr, MethodHeartbeat, h, &reply)
	return reply, err
}

// Document returns the peer's active document.
func (c *Client) Document(ctx context.Context, addr string) (*core.Document, error) {
	doc := &core.Document{}
	if err := c.callWithin(ctx, bulkTimeout, addr, MethodDocument, struct{}{}, doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// Drains returns the peer's active drains.
func (c *Client) Drains(ctx context.Context, addr string) (drain.Snapshot, error) {
	var s drain.Snapshot
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

// call makes one call within callTimeout.
func (c *Client) call(ctx context.Context, addr string, m Method, in, out any) error {
	return c.callWithin(ctx, callTimeout, addr, m, in, out)
}

// callWithin makes one call within timeout and decodes the result into out. A
// transport error closes the connection, an error returned by the peer doesn't.
func (c *Client) callWithin(ctx context.Context, timeout clock.Millis, addr string, m Method, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	return c.withConn(ctx, addr, func(conn *jsonrpc2.Conn) error {
		return conn.Call(ctx, string(m), in, out)
	})
}

// notify sends a notification, which has no response.
func (c *Client) notify(ctx context.Context, addr string, m Method, in any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	return c.withConn(ctx, addr, func(conn *jsonrpc2.Conn) error {
		return conn.Notify(ctx, string(m), in)
	})
}

// withConn calls f with the connection to the peer at addr. It closes the
// connection if f fails, unless the error is the peer's response or ctx was
// cancelled.
func (c *Client) withConn(ctx context.Context, addr string, f func(*jsonrpc2.Conn) error) error {
	l := c.link(addr)
	conn, err := c.open(ctx, l, addr)
	if err != nil {
		return codes.Wrap(codes.CutOff, err, "peer %s", addr)
	}
	err = f(conn)
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rpcErr):
		return fromRPC(rpcErr)
	case errors.Is(err, context.Canceled):
		// The caller has given up, which says nothing about the connection.
		return codes.Wrap(codes.CutOff, err, "peer %s", addr)
	}
	l.drop(conn)
	return codes.Wrap(codes.CutOff, err, "peer %s", addr)
}

// maxPeerConns is the number of links beyond which those without a connection
// are removed. Links of departed peers would otherwise accumulate.
const maxPeerConns = 1024

// link returns the link to the peer at addr and creates it on first use.
func (c *Client) link(addr string) *link {
	if c.links.Len() > maxPeerConns {
		c.links.Each(func(_ string, l *link) bool { return l.connected() })
	}
	return c.links.Ensure(addr, func() *link { return &link{} })
}

// open returns the link's connection or dials a new one. Concurrent callers may
// both dial; the connection that is established later is closed.
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
	dialed := jsonrpc2.NewConn(context.WithoutCancel(ctx), newStream(raw, maxResponseBytes, nil), ignoreCalls{},
		jsonrpc2.SetLogger(logger{c.Log}))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		go dialed.Close()
		return l.conn, nil
	}
	l.conn = dialed
	go l.dropOnDisconnect(dialed)
	return dialed, nil
}

// dial connects to addr. With TLS it verifies the identity of the peer.
func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	raw, err := sock.Dialer(callTimeout).DialContext(ctx, "tcp", addr)
	if err != nil || c.Certs == nil {
		return raw, err
	}
	cfg := c.Certs.ClientConfig()
	c.setExpectedPeer(cfg, addr)
	conn := tls.Client(raw, cfg)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// setExpectedPeer makes cfg accept only the instance known at addr. The instance
// of an address from the settings may still be unknown; such a peer must present
// a certificate signed by the authority, whatever its name.
func (c *Client) setExpectedPeer(cfg *tls.Config, addr string) {
	if c.Names != nil {
		if name, ok := c.Names.NameOf(addr); ok {
			cfg.ServerName = name
			return
		}
	}
	roots := cfg.RootCAs
	cfg.InsecureSkipVerify = true // VerifyConnection checks the chain instead.
	cfg.VerifyConnection = func(st tls.ConnectionState) error {
		intermediates := x509.NewCertPool()
		for _, other := range st.PeerCertificates[1:] {
			intermediates.AddCert(other)
		}
		_, err := st.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates})
		return err
	}
}

// dropOnDisconnect waits until conn is closed and removes it from the link.
func (l *link) dropOnDisconnect(conn *jsonrpc2.Conn) {
	<-conn.DisconnectNotify()
	l.drop(conn)
}

// connected reports whether the link has a connection.
func (l *link) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil
}

// drop closes the connection. If conn is not nil, it does so only while conn is
// still the current one, so that a late failure doesn't close its successor.
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

// ignoreCalls ignores calls that arrive on the client's connections. Peers make
// their calls on connections that they dial themselves.
type ignoreCalls struct{}

// Handle implements [jsonrpc2.Handler].
func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
