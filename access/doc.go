// Package access finds the workspace to which the API key of a caller belongs.
//
// A [Table] is built from the accounts of one manifest and never changes, so that all
// keys of a version come into force at once. Keys are compared by their digests: the
// time of a lookup neither grows with the number of keys nor tells how much of a key is
// right.
//
// # Usage
//
//	t, err := access.NewTable(manifest.Accounts)
//	account, err := t.Authenticate(key)
package access
