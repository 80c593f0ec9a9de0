// Package config reads the settings of an entry from JSON. Reading is strict:
// an unknown field is a fault, and all faults are reported together, each with
// its field.
//
// # Usage
//
//	s, err := config.Read("entry.json")
package config
