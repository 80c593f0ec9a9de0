package core

import (
	"slices"

	"lacewinghook.example/lacewinghook/clock"
)

// Role is what an upstream does.
type Role string

// The roles of an upstream.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
	Service Role = "service"
)

// Upstream is one replica that the router sends work to.
type Upstream struct {
	Name string `json:"name"`
	// Addr is an IP address and port.
	Addr string `json:"addr"`
	// Centre is the data centre the replica stands in.
	Centre string `json:"centre"`
	Role   Role   `json:"role"`
	// Models are the models that an engine serves.
	Models []string `json:"models,omitempty"`
	// Service is the name of the plain service, for role service.
	Service string `json:"service,omitempty"`
	// Pieces is the size of a decode engine's memory, in pieces.
	Pieces int `json:"pieces,omitempty"`
	// Rate is the rate of the link that KV cache leaves or enters by, in
	// bytes per millisecond; zero is not limited.
	Rate int64 `json:"rate,omitempty"`
	// Fences says that the engine refuses orders with an old fencing number.
	Fences bool `json:"fences,omitempty"`
}

// Serves reports whether the engine serves the model.
func (u *Upstream) Serves(model string) bool {
	return slices.Contains(u.Models, model)
}

// Profile is a named way of treating requests, edited by operators.
type Profile struct {
	Name string `json:"name"`
	// FirstToken and PerToken are the latency targets.
	FirstToken clock.Millis `json:"first_token"`
	PerToken   clock.Millis `json:"per_token"`
	// Patience is how long a request may wait for its turn beyond the first
	// token target; zero refuses at once what can't make the target.
	Patience clock.Millis `json:"patience,omitempty"`
	// Timeout bounds the whole request.
	Timeout clock.Millis `json:"timeout"`
	// Retries bounds the new attempts of one request after a failure.
	Retries int `json:"retries,omitempty"`
	// Hedge allows a second attempt beside one at a straggler.
	Hedge bool `json:"hedge,omitempty"`
	// Priority is handed to the engines; lower runs earlier.
	Priority int `json:"priority,omitempty"`
}

// Workspace is one customer.
type Workspace struct {
	Name string `json:"name"`
	// Profile is the one used where a request names none.
	Profile string `json:"profile"`
	// Keys are SHA-256 digests of the workspace's keys, in hexadecimal.
	Keys []string `json:"keys"`
	// Weight is the share against other workspaces; zero reads as one.
	Weight int `json:"weight,omitempty"`
}

// Route is a plain service's call and how it may be treated.
type Route struct {
	Service string `json:"service"`
	// Prefix is matched against the path below the service; the longest
	// match wins.
	Prefix string `json:"prefix"`
	// Methods limits the methods; empty allows all.
	Methods []string `json:"methods,omitempty"`
	// Repeatable says that the call is idempotent and may be retried.
	Repeatable bool `json:"repeatable,omitempty"`
	// Timeout bounds one call.
	Timeout clock.Millis `json:"timeout"`
}

// Desired is a state that an engine is to be brought to by orders.
type Desired struct {
	// Upstream is the engine's name.
	Upstream string `json:"upstream"`
	// Role, Models and Adapters are what the engine is to run.
	Role     Role     `json:"role,omitempty"`
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// Document is the published configuration. It is replaced as a whole, under
// one rising version number, and never reverts to a lower one.
type Document struct {
	Version    int64       `json:"version"`
	Profiles   []Profile   `json:"profiles"`
	Workspaces []Workspace `json:"workspaces"`
	Upstreams  []Upstream  `json:"upstreams"`
	Routes     []Route     `json:"routes"`
	Desired    []Desired   `json:"desired,omitempty"`
}

// Profile returns the profile of that name.
func (d *Document) Profile(name string) (Profile, bool) {
	for _, p := range d.Profiles {
		if p.Name == name {
			return p, true
		}
	}
	return Profile{}, false
}

// Upstream returns the upstream of that name.
func (d *Document) Upstream(name string) (Upstream, bool) {
	for _, u := range d.Upstreams {
		if u.Name == name {
			return u, true
		}
	}
	return Upstream{}, false
}
