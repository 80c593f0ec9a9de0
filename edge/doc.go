// Package edge assembles and runs an entry for a platform that publishes a list of
// replicas and a manifest. It connects the packages that make the decisions to
// the adapter in package platform, and starts and stops the servers.
//
// # Usage
//
//	e := &edge.Edge{Settings: settings, Log: log}
//	err := e.Run(ctx) // until ctx ends, then stops gracefully
package edge
