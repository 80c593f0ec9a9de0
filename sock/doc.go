// Package sock sets up TCP connections that notice when the other side has
// gone silent: without a bound a connection to an instance that lost its power
// hangs for as long as the kernel likes.
//
// # Usage
//
//	d := sock.Dialer(600)
//	c, err := d.DialContext(ctx, "tcp", addr)
//	ln, err := sock.Listen(ctx, addr)
package sock
