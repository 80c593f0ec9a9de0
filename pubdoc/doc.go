// Package pubdoc publishes and distributes the configuration document: profiles,
// workspaces, upstreams and routes under one increasing version number.
//
// # Usage
//
//	var b pubdoc.ActiveDocument
//	b.Offer(doc)              // ignored unless its version is higher
//	view := b.View()          // nil until the first document
//	w, ok := view.Workspace(key)
package pubdoc
