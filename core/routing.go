package core

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewinghook.example/lacewinghook/clock"
)

// HostRoute maps a host and a path prefix to services, and says how the
// requests that match it are treated.
type HostRoute struct {
	Name string
	Host string
	// Prefix begins and ends with a slash; the longest match of a host wins.
	Prefix string
	// Repeatable says that a request may run more than once.
	Repeatable bool
	// Stream says that the answer is a series of events, and Resumable that
	// another upstream may go on with it after the last event received.
	Stream    bool
	Resumable bool
	// Generates says that the requests are completions, which have a prompt.
	Generates bool
	// Profile holds the latency targets, the timeout and the retries.
	Profile Profile
	// Shares are the services that requests go to; there is at least one.
	Shares []Share
}

// Share is one service's part of a route.
type Share struct {
	Service string
	Weight  int
}

// Service picks the service for a random draw.
func (r *HostRoute) Service(draw uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	if total == 0 {
		if len(r.Shares) == 0 {
			return ""
		}
		return r.Shares[0].Service
	}
	n := int(draw % uint64(total))
	for _, s := range r.Shares {
		if n -= max(0, s.Weight); n < 0 {
			return s.Service
		}
	}
	return ""
}

// Engines describes the model engines of a service.
type Engines struct {
	// Tokens is the size of one engine's KV cache.
	Tokens int
	// TokenBytes is the size of one token's KV cache.
	TokenBytes int64
	// EventTokens is how many tokens one event of a stream holds.
	EventTokens int
	// HandleLife is how long an engine keeps the result of a prefill.
	HandleLife clock.Millis
	// HoldMost is how long memory may be set aside for a request; zero is not
	// at all.
	HoldMost clock.Millis
}

// ServiceSpec is one service as it was published.
type ServiceSpec struct {
	Name string
	// Engines is nil for a plain service.
	Engines *Engines
}

// InputLimits bound what callers may send.
type InputLimits struct {
	// Body is the greatest body, in bytes.
	Body int64
}

// Manifest is the routing that operators publish. It is replaced as a whole,
// under a rising version, and never reverts to a lower one.
type Manifest struct {
	Version  int64
	Routes   []HostRoute
	Services []ServiceSpec
	Limits   InputLimits
}

// Service returns the service of that name.
func (m *Manifest) Service(name string) (ServiceSpec, bool) {
	i := slices.IndexFunc(m.Services, func(s ServiceSpec) bool { return s.Name == name })
	if i < 0 {
		return ServiceSpec{}, false
	}
	return m.Services[i], true
}

// Fleet is the list of replicas at one revision of the table that holds it.
type Fleet struct {
	Revision int64
	Replicas []Replica
}

// Members identifies which replicas the list has and whether they take work,
// whatever its revision.
func (f *Fleet) Members() uint64 {
	var sum uint64
	for i := range f.Replicas {
		r := &f.Replicas[i]
		// A sum doesn't depend on the order.
		sum += xxhash.Sum64String(fmt.Sprint(r.Name, " ", r.Addr, " ", r.Role, " ", r.Leaving, " ", r.Born))
	}
	return sum
}

// Replica is one run of an upstream as it registered itself.
type Replica struct {
	Upstream
	// Leaving says that it takes no new work.
	Leaving bool
	// Born identifies this run of the replica; it is no time to compare with.
	Born int64
}
