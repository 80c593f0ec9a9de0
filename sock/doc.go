// Package sock opens TCP connections that fail within seconds if the peer stops
// responding. With the kernel's default timeouts, a connection to an instance that
// lost power would hang for much longer.
//
// A [Closer] closes accepted connections without the loss of what was sent on them.
//
// # Usage
//
//	d := sock.Dialer(600) // milliseconds to connect
//	c, err := d.DialContext(ctx, "tcp", addr)
//	ln, err := sock.Listen(ctx, addr)
//	ln, err := sock.ListenCallers(ctx, addr) // they may stop reading for a while
//
//	var c sock.Closer
//	ln = c.Listener(ln)  // its connections may be closed while their peers still read
//	sock.Reset(conn)     // drops what the peer hasn't received
//	c.Wait(ctx)          // before the process exits
package sock
