// Package edge assembles an entry that stands on a platform with a list of
// replicas and a manifest: it wires the decisions to the platform's adapter,
// starts the servers and stops them. The decisions are made in the packages
// that it wires.
//
// # Usage
//
//	e := &edge.Edge{Settings: settings, Log: log}
//	err := e.Run(ctx)     // until ctx ends, then a graceful stop
package edge
