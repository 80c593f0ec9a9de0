package config

import "lacewinghook.example/lacewinghook/clock"

// The policies for selecting upstreams, and the ways of reserving decode
// memory: by local counts only, or by leases of each upstream's owner.
const (
	PolicyCost   = "cost"
	PolicyLeast  = "least"
	PolicyRandom = "random"
	GrantLocal   = "alone"
	GrantOwner   = "home"
)

// PolicyOptions turns parts of the policy on and off, so that they can be
// compared. An option of type *bool that is not set is on with policy cost and
// off with the other policies.
type PolicyOptions struct {
	// Grant selects how decode memory is reserved: alone (each entry counts
	// only its own requests) or home (one entry, the owner of the upstream,
	// leases it to the others). Empty means home.
	Grant string `json:"grant,omitempty"`
	// Reserve reserves decode memory before the prefill starts.
	Reserve *bool `json:"reserve,omitempty"`
	// Late keeps requests in the entry's wait queue until an upstream has
	// capacity.
	Late *bool `json:"late,omitempty"`
	// Refuse rejects a request immediately if its first token is predicted to
	// be too late.
	Refuse *bool `json:"refuse,omitempty"`
	// Fair divides the wait queue fairly between workspaces.
	Fair *bool `json:"fair,omitempty"`
	// Hints uses the known contents of the upstreams' prefix caches.
	Hints *bool `json:"hints,omitempty"`
	// Scores avoids stragglers, based on the entry's own observations.
	Scores *bool `json:"scores,omitempty"`
	// Ahead is the amount of queued work at a prefill upstream, in time, above
	// which requests stay in the wait queue; zero means 60 ms.
	Ahead clock.Millis `json:"ahead,omitempty"`
	// Turns is the number of concurrent prefills per upstream, across all
	// entries, with grant home; zero means 2. If negative, the number isn't
	// limited, and each entry relies on the queues that it has observed.
	Turns int `json:"turns,omitempty"`
	// TokenBytes is the KV cache size of one token, in bytes; zero means 1024.
	TokenBytes int64 `json:"token_bytes,omitempty"`
}

// OptionEnabled returns the value of an option, or its default for the policy
// if it is not set.
func (s *Settings) OptionEnabled(option *bool) bool {
	if option != nil {
		return *option
	}
	return s.Policy == "" || s.Policy == PolicyCost
}

// Maximum values of the options.
const (
	maxAhead        = 10 * clock.Second
	maxPrefillSlots = 1024
	maxTokenBytes   = 1 << 30
)

// policy checks the name of the policy and its options.
func (c *checker) policy(s *Settings) {
	o := s.PolicyOptions
	c.oneOf("policy", s.Policy, policies)
	c.oneOf("policy_options.grant", o.Grant, grants)
	c.optionalRange("policy_options.ahead", int64(o.Ahead), 1, int64(maxAhead), "ms")
	c.optionalRange("policy_options.turns", int64(o.Turns), -1, maxPrefillSlots, "prefills")
	c.optionalRange("policy_options.token_bytes", o.TokenBytes, 1, maxTokenBytes, "bytes")
}
