package config

import "lacewinghook.example/lacewinghook/clock"

// The ways of choosing upstreams, and of sharing out decode memory.
const (
	PolicyCost   = "cost"
	PolicyLeast  = "least"
	PolicyRandom = "random"
	GrantAlone   = "alone"
	GrantHome    = "home"
)

// PolicyOptions turns parts of the policy on and off, so that they can be
// compared. A switch that is absent is on with policy cost and off with the
// others.
type PolicyOptions struct {
	// Grant says who counts the decode memory: each entry alone, or a home
	// entry for each upstream. Empty is home.
	Grant string `json:"grant,omitempty"`
	// Reserve reserves decode memory before the prefill starts.
	Reserve *bool `json:"reserve,omitempty"`
	// Late keeps requests in the entry's line until there is room.
	Late *bool `json:"late,omitempty"`
	// Refuse refuses at once what is predicted to be too late.
	Refuse *bool `json:"refuse,omitempty"`
	// Fair shares the line out between workspaces.
	Fair *bool `json:"fair,omitempty"`
	// Hints goes by what is known of the upstreams' prefix caches.
	Hints *bool `json:"hints,omitempty"`
	// Scores goes by the entry's own observations of stragglers.
	Scores *bool `json:"scores,omitempty"`
	// Ahead is the work that may wait at a prefill upstream before a request
	// is kept back; zero is 60 ms.
	Ahead clock.Millis `json:"ahead,omitempty"`
	// Turns is the number of prefills that may be under way at one upstream
	// over all entries, with grant home; zero is 2, and below zero each entry
	// goes by the queues that it knows.
	Turns int `json:"turns,omitempty"`
	// TokenBytes is the size of one token's KV cache; zero is 1024.
	TokenBytes int64 `json:"token_bytes,omitempty"`
}

// On returns the value of a switch.
func (s *Settings) On(option *bool) bool {
	if option != nil {
		return *option
	}
	return s.Policy == "" || s.Policy == PolicyCost
}

// bounds of the options.
const (
	maxAhead      = 10 * clock.Second
	maxTurns      = 1024
	maxTokenBytes = 1 << 30
)

func (c *checker) policy(s *Settings) {
	o := s.PolicyOptions
	c.oneOf("policy", s.Policy, policies)
	c.oneOf("policy_options.grant", o.Grant, grants)
	c.within("policy_options.ahead", int64(o.Ahead), 1, int64(maxAhead), "ms")
	c.within("policy_options.turns", int64(o.Turns), -1, maxTurns, "prefills")
	c.within("policy_options.token_bytes", o.TokenBytes, 1, maxTokenBytes, "bytes")
}
