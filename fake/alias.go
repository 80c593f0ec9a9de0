package fake

import (
	"lacewinghook.example/lacewinghook/fault"
	"lacewinghook.example/lacewinghook/lorem"
	"lacewinghook.example/lacewinghook/svcsim"
)

// Aliases of types in the other packages of the simulation, so that most tests
// import only this package.
type (
	// Faults are the injected faults of an engine or a service.
	Faults = fault.Faults
	// PlainService is a fake plain service.
	PlainService = svcsim.Service
	// ServiceAnswer is the response body of a [PlainService].
	ServiceAnswer = svcsim.Answer
)

// Answer returns the first n tokens that every engine returns for the prompt.
func Answer(prompt string, n int) []string { return lorem.Answer(prompt, n) }
