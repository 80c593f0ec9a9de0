// Package route chooses the prefill and the decode upstream of a request.
//
// Choices are pure functions over plain structs: what is known of the
// upstreams comes in as [Candidate] values, and nothing is changed. [Cost]
// chooses both together by the predicted first token; [Random] and [Least]
// are baselines for comparison.
//
// # Usage
//
//	choice, ok := route.Cost{}.Choose(query, prefills, decodes)
package route
