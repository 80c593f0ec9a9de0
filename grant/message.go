package grant

import "lacewinghook.example/lacewinghook/clock"

// Want is what a holder uses at an upstream and how much it wants in all.
type Want struct {
	Upstream string `json:"upstream"`
	Used     int    `json:"used"`
	Total    int    `json:"total"`
}

// Ask is what one holder wants at the upstreams of one home. It states and
// doesn't add: the same ask twice is the same as once.
type Ask struct {
	Holder string `json:"holder"`
	Wants  []Want `json:"wants"`
}

// Lease is what a holder has at an upstream, in all.
type Lease struct {
	Upstream string `json:"upstream"`
	Total    int    `json:"total"`
	// Free is what nobody holds.
	Free int `json:"free"`
	// Wanted says that other holders wait.
	Wanted bool         `json:"wanted,omitempty"`
	Life   clock.Millis `json:"life"`
	// Home and Seq tell a later lease from an earlier one.
	Home string `json:"home"`
	Seq  uint64 `json:"seq"`
}

// Answer holds a home's leases.
type Answer struct {
	Leases []Lease `json:"leases"`
}

// Offer is a lease that a home gives later than it was asked for.
type Offer struct {
	Holder string `json:"holder"`
	Lease  Lease  `json:"lease"`
}
