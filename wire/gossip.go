package wire

import (
	"context"
	"encoding/json"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/gossip"
)

// The calls of entries that stand on a platform with a list of replicas.
const (
	MethodHello Method = "hello"
	MethodView  Method = "view"
)

// Have is what the asking entry has already, which is left out of the answer.
type Have struct {
	Manifest int64 `json:"manifest,omitempty"`
	Entries  bool  `json:"entries,omitempty"`
}

// View is what an entry takes from a peer that knows more.
type View struct {
	Manifest *core.Manifest  `json:"manifest,omitempty"`
	Fleet    core.Fleet      `json:"fleet"`
	Entries  []core.Instance `json:"entries,omitempty"`
}

// SendHeartbeat implements [gossip.Sender].
func (c *Client) SendHeartbeat(ctx context.Context, addr string, h gossip.Heartbeat) error {
	return c.notify(ctx, addr, MethodHello, h)
}

// OnHello makes a [Func] of what takes a peer's message.
func OnHello(take func(gossip.Heartbeat)) Func {
	return func(_ context.Context, params json.RawMessage) (any, error) {
		var h gossip.Heartbeat
		if err := json.Unmarshal(params, &h); err != nil {
			return nil, err
		}
		take(h)
		return nil, nil
	}
}

// View returns what the peer has.
func (c *Client) View(ctx context.Context, addr string, have Have) (View, error) {
	var v View
	err := c.timed(ctx, bulkTimeout, addr, MethodView, have, &v)
	return v, err
}
