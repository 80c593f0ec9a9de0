// Package entry assembles and runs one entry instance. It alone connects the
// concrete types of the other packages, and makes no decisions of its own.
//
// # Usage
//
//	e := &entry.Entry{Settings: settings, Log: log}
//	err := e.Run(ctx)     // ctx ends at the first stop signal
package entry
