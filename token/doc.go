// Package token makes and checks the signed tokens with which a caller goes on
// with its answer at another entry. All entries share one key; no state of a
// request is copied between them.
//
// A token alone opens nothing: the caller also needs a key of the workspace
// that the token names.
//
// # Usage
//
//	s := token.Signer{Key: key}
//	text := s.Seal(token.Resume{ID: id, Workspace: "verse-writers", ...})
//	r, err := s.Open(text)     // codes.BadToken if it was not made with key
package token
