// Package token signs and verifies resume tokens. With a resume token, a caller
// resumes a stream at another entry. All entries share one signing key, so no
// state of a request is replicated between them.
//
// A token grants no access by itself: the caller also needs a key of the
// workspace in the token.
//
// # Usage
//
//	s := token.Signer{Key: key}
//	text := s.Sign(token.Resume{ID: id, Workspace: "verse-writers", ...})
//	r, err := s.Verify(text)   // codes.BadToken if it wasn't signed with key
package token
