package core

// EngineOrder sets the whole state of an engine. An engine that checks fencing
// numbers rejects an order with a lower number than that of an earlier order.
type EngineOrder struct {
	// Fence is the fencing number of the lease under which the order is sent.
	Fence int64   `json:"fence"`
	State Desired `json:"state"`
}
