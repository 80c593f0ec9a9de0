// Package hconn keeps the HTTP/1.1 connections of a client that must tell to which
// request a response belongs. A server may send a response twice or late; on a reused
// connection it would be taken for that to a later request.
//
// Each connection therefore remembers the IDs of the requests that it has carried, and
// [Pool.Connect] picks an idle one only for an ID that is new to it. What an ID is and
// where a response states it is up to the caller of this package, as are the requests,
// which it writes to the connection itself.
//
// An idle connection is reused only if the server keeps it open, according to its
// Keep-Alive header ([KeepAliveTime]), and no unread data have arrived. The head of a
// response is limited in size: a longer one is an error with the code
// [codes.UpstreamEndless]. A status outside 100 to 599 is an error as well.
//
// The package doesn't retry. Its only timeout is that of connecting; a caller bounds an
// exchange by a context, at whose end the connection is closed ([Conn.CloseWhenDone],
// [Conn.CloseAtDeadline]).
//
// # Usage
//
//	var pool hconn.Pool                       // the zero value is ready to use
//	c, err := pool.Connect(ctx, key, addr, id, now)
//	release := c.CloseWhenDone(ctx)
//	c.Carry(id)
//	_, err = c.Write(request)
//	response, err := c.ReadResponse(http.MethodGet)
//	// read response.Body to its end, then
//	if release() {
//		pool.Put(key, c, now, hconn.KeepAliveTime(response.Header.Get("Keep-Alive")))
//	}
package hconn
