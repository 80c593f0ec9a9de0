package core

import "net/http"

// Opaque is a request that is passed on as it came: the router reads no more
// of it than the caller's headers say.
type Opaque struct {
	// ID is the caller's own name for this attempt; it goes to the upstream
	// and must come back in the answer.
	ID     string
	Method string
	// Target is the path and query exactly as they were sent.
	Target string
	Host   string
	// Header holds the headers that go to the upstream.
	Header http.Header
	Body   []byte
	// After is the last event that the caller has, of a stream that it
	// resumes; empty is none.
	After string
	// PromptTokens is the length of the prompt as the caller counted it.
	PromptTokens int
	// OutputHint is the caller's estimate of the answer's length; zero is
	// none. It is right in the middle and often far off.
	OutputHint int
	// Route is the one in force when the request arrived, and Version that of
	// its manifest.
	Route   HostRoute
	Version int64
	// Service is the one chosen among the route's.
	Service string
}

// Reply is the head of an upstream's answer to an opaque request.
type Reply struct {
	Status int
	Header http.Header
	// Length is that of the body; below zero it is not known.
	Length int64
}

// OK reports whether the upstream answered with success.
func (r *Reply) OK() bool { return r.Status >= 200 && r.Status < 300 }
