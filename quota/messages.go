package quota

import (
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Ask is one entry's message to an owner.
type Ask struct {
	// From is the entry that sends it; only its Name and Peer are set.
	From core.Instance
	// Relayed is set if From passes it on for another entry. It isn't passed on again.
	Relayed bool
	Items   []Item
}

// Item is the part of one workspace.
type Item struct {
	Workspace string
	// Costs are those of the requests that wait, in order, and Extra is what the next
	// ones are expected to cost.
	Costs []float64
	Extra float64
	// Return is what is put back, and Age how long ago it was granted, at most.
	Return float64
	Age    clock.Millis
	// Release asks the previous owner to stop granting and to tell the level of its bucket.
	Release bool
}

// Answer has a Grant for each Item, in order.
type Answer struct {
	Grants []Grant
}

// State tells whether an entry decides for a workspace.
type State int

// The states of a Grant.
const (
	// Undecided means that the entry isn't the owner or can't know.
	Undecided State = iota
	// Decided means that the other fields are valid.
	Decided
)

// Grant is the answer to an Item.
type Grant struct {
	State State
	// Refused holds the indices of the costs that were refused, and Retry the times
	// after which to try again.
	Refused []int
	Retry   []clock.Millis
	// Over holds the indices of the costs that are granted beyond the limit.
	Over []int
	// Extra is granted beyond the requests. Level is what is left of the limit.
	Extra float64
	Level float64
}
