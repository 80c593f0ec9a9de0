// Package wire is the protocol between entries: JSON-RPC 2.0 messages on
// connections that stay open. It encodes and it frames; what a message means
// is decided by the packages whose types it carries, and none of them imports
// this one.
//
// # Usage
//
//	s := &wire.Server{Handler: h}
//	go s.Serve(ctx, ln)
//	c := &wire.Client{}
//	answer, err := c.Beat(ctx, peerAddr, beat)
package wire
