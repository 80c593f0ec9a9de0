// Package admin implements the HTTP interface for operators. It makes no
// decisions: it authenticates the operator, decodes the request, calls the
// implementation behind one of the interfaces of [Server], and encodes the
// result.
//
// Every path, including /metrics, requires a bearer token whose SHA-256 digest
// is listed in the settings. Digests are compared in constant time.
//
// # Usage
//
//	s := &admin.Server{Tokens: settings.Tokens, ActiveDocument: active, Members: table}
//	http.Serve(ln, s.Handler())
//
// Calls of an optional interface that is nil return not_found, so that the
// server can run before all parts of an entry exist. docs/INTERFACES.md lists
// the calls.
package admin
