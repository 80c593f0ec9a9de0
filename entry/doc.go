// Package entry puts the parts of one entry instance together and runs them.
// It is the one place where concrete types meet; it decides nothing.
//
// # Usage
//
//	e := &entry.Entry{Settings: settings, Log: log}
//	err := e.Run(ctx)     // ctx ends with the first stop signal
package entry
