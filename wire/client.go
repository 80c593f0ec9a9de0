package wire

import (
	"context"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/member"
	"lacewinghook.example/lacewinghook/shard"
)

// Method is the name of a call between entries.
type Method string

// The calls between entries.
const (
	MethodBeat Method = "beat"
)

// callTimeout bounds one call between entries.
const callTimeout = 1 * clock.Second

// Client calls other entries. It keeps one connection to each. The zero value
// works; Close ends it.
type Client struct {
	links shard.Map[string, *link]
}

// link is the connection to one peer. Its lock covers only the pointer.
type link struct {
	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// Beat sends a heartbeat and returns the peer's own.
func (c *Client) Beat(ctx context.Context, addr string, b member.Beat) (member.Beat, error) {
	var answer member.Beat
	err := c.call(ctx, addr, MethodBeat, b, &answer)
	return answer, err
}

// Close closes all connections.
func (c *Client) Close() {
	c.links.Each(func(_ string, l *link) bool {
		l.drop(nil)
		return false
	})
}

func (c *Client) call(ctx context.Context, addr string, m Method, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Std())
	defer cancel()
	l := c.link(addr)
	conn, err := l.open(ctx, addr)
	if err != nil {
		return codes.Wrap(codes.CutOff, err, "peer %s", addr)
	}
	if err := conn.Call(ctx, string(m), in, out); err != nil {
		l.drop(conn)
		return codes.Wrap(codes.CutOff, err, "peer %s", addr)
	}
	return nil
}

func (c *Client) link(addr string) *link {
	var l *link
	c.links.Update(addr, func(old *link, ok bool) (*link, bool) {
		if !ok {
			old = &link{}
		}
		l = old
		return old, true
	})
	return l
}

// open returns the link's connection, or a new one. Two callers at once may
// both dial; the later one's connection is dropped.
func (l *link) open(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	fresh := jsonrpc2.NewConn(context.WithoutCancel(ctx), newStream(raw), nothing{})
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		go fresh.Close()
		return l.conn, nil
	}
	l.conn = fresh
	return fresh, nil
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

func (nothing) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
