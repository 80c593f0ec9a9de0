// Package route selects the prefill and the decode upstream of a request.
//
// The choosers are pure functions over plain structs. They receive the state of
// the upstreams as [Candidate] values and modify nothing. [Cost] selects both
// upstreams together by the predicted time to first token, and [Direct] also
// considers a decode upstream that computes the prompt itself. [Random] and
// [LeastLoaded] are baselines for comparison.
//
// # Usage
//
//	choice, ok := route.Cost{}.Choose(query, prefills, decodes)
package route
