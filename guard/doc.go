// Package guard bounds what the connections of callers hold before and while their
// requests run, so that no number of callers exhausts the memory or the descriptors of a
// process.
//
// The head of a request costs a multiple of its bytes: net/http makes an entry of a map of
// each line, which lives as long as the request and is copied when it is forwarded. A
// [Conn] counts the bytes and lines of a head while it is read and charges its estimated
// memory to a sum of all connections, until the request has ended. Where there is no room,
// the largest head that is still arriving is refused as not run. A head over the limit in
// force is refused once more than that has arrived. A [Guard] also bounds the number of
// connections: the one that has waited longest for a request, or for the rest of a head,
// gives way to a new one.
//
// A connection also replaces the deadlines that net/http sets while it waits for a request,
// since those are constant and the limits of a manifest aren't.
//
// # Usage
//
//	g := guard.Guard{MaxConns: 1000, Limits: limits}
//	g.Heads.Max = 4 << 20
//	server.ConnState = guard.SetState // IdleTimeout and ReadHeaderTimeout must be set
//	err := server.Serve(g.Listener(closer.Listener(ln)))
package guard
