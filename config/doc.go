// Package config decodes and validates the settings of an entry. Decoding is
// strict: an unknown field at any depth is a fault, and all faults are reported
// together, each with the path of its field. Faults don't contain values, since
// a value may be a secret in the wrong field.
//
// # Usage
//
//	s, err := config.Read("moose-jaw-1.json")
//	body := s.Limits.WithDefaults().Body
//
// The settings contain no secrets: operator tokens are given as digests, and
// the platform's token and certificate keys as file names.
package config
