// Package store is the client for the platform's table, object store and
// instance list. No other package knows their protocol. The packages that use it
// declare the interfaces they need.
//
// # Usage
//
//	c := &store.Client{Base: "http://10.0.0.1:9000"}
//	result, err := c.Commit(ctx, writes...)
//
// An error of [Client.Commit] with Run [codes.NotRun] proves that nothing was
// written. After any other error the outcome is unknown and has to be read back.
package store
