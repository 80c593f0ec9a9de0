// Package config reads the settings of an entry from JSON. Reading is strict:
// an unknown field at any depth is a fault, and all faults are reported
// together, each with the path of its field. No fault repeats a value, since
// that may be a secret that stands in the wrong field.
//
// # Usage
//
//	s, err := config.Read("moose-jaw-1.json")
//	body := s.Limits.Filled().Body
//
// The file holds no secret: tokens of operators stand in it as digests, and
// the platform's token and the keys of certificates as the names of files.
package config
