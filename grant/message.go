package grant

import "lacewinghook.example/lacewinghook/clock"

// Demand is a holder's request for pieces at one upstream. Total is the number of
// pieces to lease, including Used, the number in use.
type Demand struct {
	Upstream string `json:"upstream"`
	Used     int    `json:"used"`
	Total    int    `json:"total"`
}

// LeaseRequest lists the demands of one holder at the upstreams of one owner.
// The amounts are absolute, so a repeated request changes nothing.
type LeaseRequest struct {
	Holder  string   `json:"holder"`
	Demands []Demand `json:"wants"`
}

// Lease is the total number of pieces that a holder may use at an upstream.
type Lease struct {
	Upstream string `json:"upstream"`
	Total    int    `json:"total"`
	// Free is the number of pieces that no holder has leased.
	Free int `json:"free"`
	// Contended is set while other holders wait for pieces.
	Contended bool `json:"wanted,omitempty"`
	// TTL is the duration of the lease.
	TTL clock.Millis `json:"life"`
	// Owner and Seq order the leases: a lease replaces those of the same owner
	// with a lower Seq.
	Owner string `json:"home"`
	Seq   uint64 `json:"seq"`
}

// LeaseResponse lists the leases that an owner granted.
type LeaseResponse struct {
	Leases []Lease `json:"leases"`
}

// Offer is a lease granted to a waiting holder after its request was
// answered.
type Offer struct {
	Holder string `json:"holder"`
	Lease  Lease  `json:"lease"`
}
