package wire

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/gossip"
)

// The methods used by entries whose platform publishes a list of replicas.
// MethodHello sends a heartbeat; MethodSnapshot fetches a snapshot.
const (
	MethodHello    Method = "hello"
	MethodSnapshot Method = "view"
)

// SnapshotRequest states what the caller has and wants.
type SnapshotRequest struct {
	// Manifest is the version of the caller's manifest. The response omits it if it
	// isn't newer.
	Manifest int64 `json:"manifest,omitempty"`
	// Entries asks for the table of entries.
	Entries bool `json:"entries,omitempty"`
}

// Snapshot is the copy of the platform's data that an entry fetches from a peer
// with a newer one.
type Snapshot struct {
	Manifest *core.Manifest `json:"manifest,omitempty"`
	Fleet    core.Fleet     `json:"fleet"`
	// Age is the time since the list of replicas was read.
	Age clock.Millis `json:"age,omitempty"`
	// Entries is the table of entries, of the revision Table in the era TableEra. Older
	// builds send no era.
	Entries  []core.Instance `json:"entries,omitempty"`
	Table    int64           `json:"table,omitempty"`
	TableEra int64           `json:"table_era,omitempty"`
}

// SendHeartbeat sends a heartbeat as a notification. It implements
// [gossip.Sender].
func (c *Client) SendHeartbeat(ctx context.Context, addr string, h gossip.Heartbeat) error {
	return c.notify(ctx, addr, MethodHello, h)
}

// OnHeartbeat returns a handler of [MethodHello] that passes the peer's
// heartbeat to handle.
func OnHeartbeat(handle func(gossip.Heartbeat)) MethodHandler { return notificationHandler(handle) }

// Snapshot returns the peer's snapshot without the parts listed in have.
func (c *Client) Snapshot(ctx context.Context, addr string, have SnapshotRequest) (Snapshot, error) {
	var s Snapshot
	err := c.callWithin(ctx, bulkTimeout, addr, MethodSnapshot, have, &s)
	return s, err
}
