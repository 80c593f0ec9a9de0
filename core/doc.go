// Package core defines the types that all other packages share: requests and
// their identity, upstreams, instances, and the published document.
//
// All types are plain data. Decisions about them are made in the packages
// above, and no type here knows how it is sent: tags name fields in JSON, but
// no package below front, admin, wire, engine and store encodes anything.
//
// # Usage
//
//	seq := core.Sequence{Instance: "moose-jaw-1", Boot: core.NewBoot()}
//	id := seq.Next()             // "moose-jaw-1.9f3c2a7e51d04b68.1"
//	pieces := core.Pieces(promptTokens + maxTokens)
package core
