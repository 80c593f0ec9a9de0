package core

import "lacewinghook.example/lacewinghook/clock"

// InstanceState is the lifecycle state of an entry instance.
type InstanceState string

// The states of an instance. A leaving instance finishes its requests in
// flight before it stops.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
	Dead    InstanceState = "dead"
)

// Instance is one entry instance.
type Instance struct {
	Name string `json:"name"`
	// Addr is the address for callers, Peer the address for other entries.
	Addr   string        `json:"addr"`
	Peer   string        `json:"peer"`
	Centre string        `json:"centre"`
	State  InstanceState `json:"state"`
	// Share is the CPU share of the entry's machine, in cores; zero means that it is not
	// known.
	Share float64 `json:"share,omitempty"`
}

// Listing is the platform's list of entry instances. It may be out of date.
type Listing struct {
	// Age is the age of the data.
	Age       clock.Millis `json:"age"`
	Instances []Instance   `json:"instances"`
}

// Report is the load that an engine reports about itself. It may be out of
// date.
type Report struct {
	Upstream string `json:"upstream"`
	// Boot identifies the run of the engine and changes with each restart;
	// empty means unknown.
	Boot string `json:"boot,omitempty"`
	// Age is the age of the data at the time it was read.
	Age clock.Millis `json:"age"`
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueueTokens is the number of queued prompt tokens, not yet computed.
	QueueTokens int `json:"queue_tokens"`
	// Pieces is the KV cache capacity and FreePieces its unused part, both in
	// pieces of [PieceTokens] tokens.
	Pieces     int `json:"pieces"`
	FreePieces int `json:"free_pieces"`
}

// HeldRequest is a request that an engine holds KV cache for.
type HeldRequest struct {
	ID      string  `json:"id"`
	Owner   string  `json:"owner"`
	Attempt Attempt `json:"attempt"`
	// Age is the time since the engine allocated the memory.
	Age clock.Millis `json:"age"`
}

// Row is one row of the platform's table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision increases with each write of the row; zero means that the row
	// doesn't exist.
	Revision int64 `json:"revision"`
}

// Write is one conditional write of a transaction. The transaction fails
// unless the row has the revision Expect; zero means that the row must not
// exist.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Expect int64  `json:"expect"`
	Delete bool   `json:"delete,omitempty"`
}

// CommitResult is the table's answer to a transaction.
type CommitResult struct {
	// Conflicts holds the current state of the rows whose revision was not the
	// expected one. If it isn't empty, nothing was written.
	Conflicts []Row `json:"conflicts,omitempty"`
	// Revisions holds the new revision of each written row, in the order of
	// the writes.
	Revisions []int64 `json:"revisions,omitempty"`
}

// OK reports whether the transaction was committed.
func (c CommitResult) OK() bool { return len(c.Conflicts) == 0 }
