// Package wire implements the protocol between entries: JSON-RPC 2.0 messages
// on persistent connections. It only encodes and frames messages. The packages
// that own the message types decide how to act on them, and none of them
// imports wire.
//
// # Usage
//
//	s := &wire.Server{Handler: h}
//	go s.Serve(ctx, ln)
//	c := &wire.Client{}
//	answer, err := c.Heartbeat(ctx, peerAddr, heartbeat)
package wire
