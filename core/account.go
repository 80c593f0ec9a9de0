package core

// Account is a workspace as the manifest describes it: the keys of its callers, its
// priority and its limit.
type Account struct {
	// Name is the workspace's name, as upstreams see it.
	Name string
	// Keys are the SHA-256 digests of the API keys, in hexadecimal.
	Keys []string
	// Priority, if not nil, replaces that of the routes; 0 is the most urgent.
	Priority *int
	Limit    Limit
}

// Limit bounds what a workspace may use over all entries together. The zero value is
// no limit.
type Limit struct {
	// Rate is what the workspace may use each second, and Burst what it may use at
	// once beyond that. A Rate of zero means no limit.
	Rate, Burst float64
	// Tokens means that requests count by their tokens. Otherwise each counts as one.
	Tokens bool
	// Default is the cost of a request that states no token counts.
	Default float64
}

// Cost returns what a request with the given token counts uses of the limit. counted is
// false if the request states none.
func (l Limit) Cost(tokens int, counted bool) float64 {
	switch {
	case !l.Tokens:
		return 1
	case counted:
		return float64(tokens)
	}
	return l.Default
}
