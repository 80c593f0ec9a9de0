// Package core defines the types that all other packages share: requests and
// their identity, upstreams, instances, and the published document.
//
// All types are plain data. The importing packages make the decisions. Struct
// tags name the JSON fields, but only the packages front, admin, wire, engine
// and store encode messages.
//
// # Usage
//
//	owner := core.Owner{Instance: "moose-jaw-1", Boot: core.NewBoot()}
//	seq := core.Sequence{Owner: owner}
//	id := seq.Next()             // "moose-jaw-1.9f3c2a7e51d04b68.1"
//	pieces := core.Pieces(promptTokens + maxTokens)
package core
