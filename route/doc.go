// Package route chooses the prefill and the decode upstream of a request.
//
// Choices are pure functions over plain structs: what is known of the
// upstreams comes in as [Candidate] values, and nothing is changed.
//
// # Usage
//
//	choice, ok := route.Least{}.Choose(query, prefills, decodes)
package route
