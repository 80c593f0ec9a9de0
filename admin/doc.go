// Package admin is the operators' HTTP interface. It decides nothing: it
// checks who asks, decodes, hands on to the parts behind the interfaces of
// [Server], and encodes.
//
// Every path, /metrics included, needs a bearer token whose SHA-256 digest is
// among the settings' tokens. Digests are compared in constant time.
//
// # Usage
//
//	s := &admin.Server{Tokens: settings.Tokens, Views: book, Members: table}
//	http.Serve(ln, s.Handler())
//
// A part that is nil answers as not found, so that the server can be used
// before all parts of an entry exist. docs/INTERFACES.md lists the calls.
package admin
