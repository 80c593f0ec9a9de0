package member

import (
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/poison"
)

// Heartbeat is the state that one entry reports to another.
type Heartbeat struct {
	Instance core.Instance `json:"instance"`
	Boot     uint64        `json:"boot"`
	// StateTime is the wall time, in milliseconds since 1970, of the last
	// change of the instance's state. Of two reported states of an instance,
	// the one with the later StateTime applies.
	StateTime int64 `json:"turn"`
	// Version is the active version of the document at the entry, and Drains
	// that of the drains.
	Version int64 `json:"version"`
	Drains  int64 `json:"drains,omitempty"`
	// Suspects identify requests that were in flight when an upstream crashed
	// and that are not yet in the platform's table.
	Suspects []poison.Suspect `json:"marks,omitempty"`
	// Load is the number of requests in flight.
	Load int `json:"load"`
	// StateChanges are the latest state changes of other entries.
	StateChanges []StateChange `json:"rumours,omitempty"`
}

// Owner returns the run of the instance that sent the heartbeat.
func (h *Heartbeat) Owner() core.Owner {
	return core.Owner{Instance: h.Instance.Name, Boot: h.Boot}
}

// stateChange returns the sender's own state in the form in which it is
// relayed.
func (h *Heartbeat) stateChange() StateChange {
	return StateChange{Instance: h.Instance.Name, Boot: h.Boot, State: h.Instance.State, StateTime: h.StateTime}
}

// StateChange is a state change of one entry, relayed by another.
type StateChange struct {
	Instance  string             `json:"instance"`
	Boot      uint64             `json:"boot"`
	State     core.InstanceState `json:"state"`
	StateTime int64              `json:"turn"`
}

// relayFor is how long a state change is relayed, and maxStateChanges bounds
// those in one heartbeat.
const (
	relayFor        = 6 * clock.Second
	maxStateChanges = 32
)
