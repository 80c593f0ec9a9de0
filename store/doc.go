// Package store is the client of the platform: its table, its object store
// and its instance list. It is the one package that knows how the platform is
// spoken to; its users declare the interfaces that they need.
//
// # Usage
//
//	c := &store.Client{Base: "http://10.0.0.1:9000"}
//	done, err := c.Commit(ctx, writes)
//
// An error of [Client.Commit] with Run [codes.NotRun] is proof that nothing
// was written. Any other error leaves the outcome unknown: read back.
package store
