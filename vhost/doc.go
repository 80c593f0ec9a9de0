// Package vhost selects the route of a request by its host and path.
//
// The routes are kept in an immutable index, which each newer manifest replaces
// as a whole. A manifest whose version isn't higher than the current one is
// ignored, so that a late or stale copy never reverts the routes.
//
// # Usage
//
//	var t vhost.Table
//	t.Apply(manifest)
//	match, err := t.Match("verse.example", "/lohu930/2f")
package vhost
