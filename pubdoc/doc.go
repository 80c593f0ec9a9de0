// Package pubdoc publishes and distributes the configuration document: profiles,
// workspaces, upstreams and routes under one increasing version number.
//
// # Usage
//
//	var a pubdoc.ActiveDocument
//	a.Update(doc)             // ignored unless its version is higher
//	view := a.View()          // nil until the first document
//	w, ok := view.Workspace(key)
package pubdoc
