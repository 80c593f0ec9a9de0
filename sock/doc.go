// Package sock opens TCP connections that fail within seconds if the peer stops
// responding. Without these timeouts, a connection to an instance that lost power
// hangs for as long as the kernel's defaults allow.
//
// # Usage
//
//	d := sock.Dialer(600) // milliseconds to connect
//	c, err := d.DialContext(ctx, "tcp", addr)
//	ln, err := sock.Listen(ctx, addr)
package sock
