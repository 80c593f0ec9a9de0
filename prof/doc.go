// Package prof holds the published document: profiles, workspaces, upstreams
// and routes under one rising version number.
//
// # Usage
//
//	var b prof.Book
//	b.Offer(doc)              // kept only if its version is higher
//	view := b.View()          // nil until a document was offered
//	w, ok := view.Workspace(key)
package prof
