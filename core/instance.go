package core

import "lacewinghook.example/lacewinghook/clock"

// State is what an instance does.
type State string

// The states of an instance.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Dead    State = "dead"
)

// Instance is one entry instance.
type Instance struct {
	Name string `json:"name"`
	// Addr is where callers connect, Peer where other entries do.
	Addr   string `json:"addr"`
	Peer   string `json:"peer"`
	Centre string `json:"centre"`
	State  State  `json:"state"`
}

// Listing is the platform's instance list, which lags.
type Listing struct {
	// Age is how old the data is.
	Age       clock.Millis `json:"age"`
	Instances []Instance   `json:"instances"`
}

// Report is an engine's own account of its load. It lags.
type Report struct {
	Upstream string `json:"upstream"`
	// Boot changes whenever the engine starts again; empty is not known.
	Boot string `json:"boot,omitempty"`
	// Age is how old the data was when it was read.
	Age clock.Millis `json:"age"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueueTokens counts the prompt tokens not yet computed.
	QueueTokens int `json:"queue_tokens"`
	// Pieces and FreePieces count pieces of memory.
	Pieces     int `json:"pieces"`
	FreePieces int `json:"free_pieces"`
}

// Running is one request that an engine holds memory for.
type Running struct {
	ID      string  `json:"id"`
	Owner   string  `json:"owner"`
	Attempt Attempt `json:"attempt"`
	// Age is how long the engine has held it.
	Age clock.Millis `json:"age"`
}

// Row is one row of the platform's table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision rises with each write of the row; zero means absent.
	Revision int64 `json:"revision"`
}

// Write is one conditional write of a transaction: it holds only if the row
// stands at the revision Expect, where zero means absent.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Expect int64  `json:"expect"`
	Delete bool   `json:"delete,omitempty"`
}

// Committed is the outcome of a transaction that the table answered.
type Committed struct {
	// Conflicts holds the rows that didn't stand as expected, as they stand.
	// If there are any, nothing was written.
	Conflicts []Row `json:"conflicts,omitempty"`
	// Revisions holds the new revision of each written row, in order.
	Revisions []int64 `json:"revisions,omitempty"`
}

// OK reports whether the transaction was carried out.
func (c Committed) OK() bool { return len(c.Conflicts) == 0 }
