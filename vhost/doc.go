// Package vhost finds the route of a request by its host and path.
//
// The routes in force are an immutable index that is replaced whole. A
// manifest with a version that is not above the one in force is ignored, so
// that a late or stale copy never takes an entry back.
//
// # Usage
//
//	var t vhost.Table
//	t.Apply(manifest)
//	route, version, err := t.Match("verse.example", "/lohu930/2f")
package vhost
