package member

import (
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/poison"
)

// Beat is what one entry tells another of itself.
type Beat struct {
	Instance core.Instance `json:"instance"`
	Boot     uint64        `json:"boot"`
	// Turn is the wall time, in milliseconds since 1970, of the last change
	// of the instance's state; of two accounts of one instance the one with
	// the later turn holds.
	Turn int64 `json:"turn"`
	// Version is the document's version in force there, and Drains that of
	// the drains.
	Version int64 `json:"version"`
	Drains  int64 `json:"drains,omitempty"`
	// Marks are those of requests that crashed upstreams which the platform's
	// table has not taken yet.
	Marks []poison.Mark `json:"marks,omitempty"`
	// Load counts the requests in flight.
	Load int `json:"load"`
	// Rumours are the latest changes of other entries' states.
	Rumours []Rumour `json:"rumours,omitempty"`
}

// Owner returns the run of the instance that the beat tells of.
func (b *Beat) Owner() core.Owner {
	return core.Owner{Instance: b.Instance.Name, Boot: b.Boot}
}

func (b *Beat) rumour() Rumour {
	return Rumour{Instance: b.Instance.Name, Boot: b.Boot, State: b.Instance.State, Turn: b.Turn}
}

// Rumour is the state of one entry as another one passes it on.
type Rumour struct {
	Instance string     `json:"instance"`
	Boot     uint64     `json:"boot"`
	State    core.State `json:"state"`
	Turn     int64      `json:"turn"`
}

// rumourLife is how long a change of state is passed on, and maxRumours
// bounds those in one beat.
const (
	rumourLife = 6 * clock.Second
	maxRumours = 32
)
