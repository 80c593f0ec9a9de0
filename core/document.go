package core

import (
	"slices"

	"lacewinghook.example/lacewinghook/clock"
)

// Role is the kind of work that an upstream does.
type Role string

// The roles of an upstream. Prefill and Decode are engines, Service is a
// replica of a plain service.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
	Service Role = "service"
)

// Upstream is one replica that the router sends requests to.
type Upstream struct {
	Name string `json:"name"`
	// Addr is an IP address and port.
	Addr string `json:"addr"`
	// Centre is the data centre of the replica.
	Centre string `json:"centre"`
	Role   Role   `json:"role"`
	// Models lists the models that an engine serves.
	Models []string `json:"models,omitempty"`
	// Service is the name of the plain service, for role service.
	Service string `json:"service,omitempty"`
	// Pieces is the KV cache capacity of a decode engine, in pieces of
	// [PieceTokens] tokens.
	Pieces int `json:"pieces,omitempty"`
	// Rate is the bandwidth of the link that transfers KV cache to or from
	// the engine, in bytes per millisecond; zero means unlimited.
	Rate int64 `json:"rate,omitempty"`
	// Fences means that the engine rejects orders with an outdated fencing
	// number.
	Fences bool `json:"fences,omitempty"`
}

// Serves reports whether the engine serves the model.
func (u *Upstream) Serves(model string) bool {
	return slices.Contains(u.Models, model)
}

// Profile holds the latency targets, limits and priority of a class of
// requests. Operators edit it.
type Profile struct {
	Name string `json:"name"`
	// FirstToken is the target for the time to first token, and PerToken for
	// the time of each further token.
	FirstToken clock.Millis `json:"first_token"`
	PerToken   clock.Millis `json:"per_token"`
	// Patience is how far queueing may delay the first token beyond the
	// FirstToken target; with zero, a request that is predicted to miss the
	// target is rejected immediately.
	Patience clock.Millis `json:"patience,omitempty"`
	// Timeout limits the duration of the whole request.
	Timeout clock.Millis `json:"timeout"`
	// Retries is the maximum number of retries of one request.
	Retries int `json:"retries,omitempty"`
	// Hedge allows a second, concurrent attempt if the first runs on a
	// straggler.
	Hedge bool `json:"hedge,omitempty"`
	// Priority is passed to the engines; lower values run first.
	Priority int `json:"priority,omitempty"`
}

// LeastUrgent is the priority behind all others, and the last that replicas know.
const LeastUrgent = 9

// Workspace is one customer with its API keys.
type Workspace struct {
	Name string `json:"name"`
	// Profile is the default profile, used if a request names none.
	Profile string `json:"profile"`
	// Keys are the SHA-256 digests of the API keys, in hexadecimal.
	Keys []string `json:"keys"`
	// Weight is the fair-share weight relative to other workspaces; zero
	// means one.
	Weight int `json:"weight,omitempty"`
}

// Route allows calls to a path prefix of a plain service and sets their
// timeout and whether they may be retried.
type Route struct {
	Service string `json:"service"`
	// Prefix is matched against the path without the service name; the
	// longest matching prefix wins.
	Prefix string `json:"prefix"`
	// Methods lists the allowed HTTP methods; empty allows all.
	Methods []string `json:"methods,omitempty"`
	// Repeatable means that the call is idempotent and may be retried.
	Repeatable bool `json:"repeatable,omitempty"`
	// Timeout limits the duration of one call.
	Timeout clock.Millis `json:"timeout"`
}

// Desired is the published target state of one engine. The holder of the
// engine's lease orders it.
type Desired struct {
	// Upstream is the name of the engine.
	Upstream string `json:"upstream"`
	// Role, Models and Adapters are what the engine should run.
	Role     Role     `json:"role,omitempty"`
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// Document is the published configuration. Each publication replaces it as a
// whole and increases Version. An entry never reverts to a lower version.
type Document struct {
	Version    int64       `json:"version"`
	Profiles   []Profile   `json:"profiles"`
	Workspaces []Workspace `json:"workspaces"`
	Upstreams  []Upstream  `json:"upstreams"`
	Routes     []Route     `json:"routes"`
	Desired    []Desired   `json:"desired,omitempty"`
}

// Profile returns the profile with the given name.
func (d *Document) Profile(name string) (Profile, bool) {
	for _, p := range d.Profiles {
		if p.Name == name {
			return p, true
		}
	}
	return Profile{}, false
}

// Upstream returns the upstream with the given name.
func (d *Document) Upstream(name string) (Upstream, bool) {
	for _, u := range d.Upstreams {
		if u.Name == name {
			return u, true
		}
	}
	return Upstream{}, false
}
