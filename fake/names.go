package fake

import (
	"lacewinghook.example/lacewinghook/fault"
	"lacewinghook.example/lacewinghook/prose"
	"lacewinghook.example/lacewinghook/shop"
)

// The other stand-ins and what they share, under the names that users of this
// package had before they stood in packages of their own.
type (
	// Ills are the faults of an engine or a service.
	Ills = fault.Ills
	// PlainService is the stand-in plain service.
	PlainService = shop.Service
	// ServiceAnswer is the body that it answers with.
	ServiceAnswer = shop.Answer
)

// Answer returns the n tokens that every engine answers to the prompt.
func Answer(prompt string, n int) []string { return prose.Answer(prompt, n) }
