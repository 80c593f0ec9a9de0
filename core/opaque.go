package core

import "net/http"

// Opaque is a request that is forwarded unchanged. The router doesn't parse
// its body and uses only the caller's headers.
type Opaque struct {
	// ID is the caller's ID of this attempt. It is sent to the upstream, whose
	// answer must repeat it.
	ID     string
	Method string
	// Target is the path and query exactly as received.
	Target string
	Host   string
	// Header holds the headers to send to the upstream.
	Header http.Header
	// Body is the body, in parts.
	Body [][]byte
	// LastEventID is the ID of the last event that the caller received of a
	// stream that it resumes; otherwise empty.
	LastEventID string
	// Parts are the IDs of the parts of the prompt that other requests may share, in
	// order and each once.
	Parts []uint64
	// PromptTokens is the length of the prompt as counted by the caller. Counted is set
	// if the caller has stated the numbers of tokens.
	PromptTokens int
	Counted      bool
	// Key is the caller's API key. Keyed means that the manifest has workspaces, so that
	// the key is not sent to upstreams.
	Key   string
	Keyed bool
	// OutputHint is the caller's estimate of the answer's length in tokens;
	// zero means none. Its median is right, but single values are often far
	// off.
	OutputHint int
	// Route is the matching route at the time of arrival, and Version the
	// version of its manifest.
	Route   HostRoute
	Version int64
	// Service is the service selected from the shares of the route.
	Service string
	// Ranked means that the requests of the service differ in priority, so that upstreams
	// are told that of this one.
	Ranked bool
}

// Reply is the status and headers of an upstream's answer to an opaque
// request.
type Reply struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes; negative means unknown.
	Length int64
}

// OK reports whether the status is a success (2xx).
func (r *Reply) OK() bool { return r.Status >= 200 && r.Status < 300 }
