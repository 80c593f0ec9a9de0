package core

// Order is an order to an engine: the whole state that it is to have, under a
// fencing number. An engine that checks fencing numbers refuses an order
// whose number is lower than one it has seen.
type Order struct {
	Fence int64   `json:"fence"`
	State Desired `json:"state"`
}
