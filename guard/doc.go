// Package guard bounds what the connections of a process's listeners hold before and while
// their requests run, so that no number of clients exhausts the memory or the descriptors of
// the process.
//
// The head of a request costs a multiple of its bytes: net/http makes an entry of a map of
// each line, which lives as long as the request and is copied when it is forwarded. A
// [Conn] counts the bytes and lines of a head while it is read and charges its estimated
// memory to a sum of all connections, until the request has ended. Where there is no room,
// the largest head that is still arriving is refused as not run. A head over the limit in
// force is refused once more than that has arrived. With TLS, what has arrived and isn't
// decrypted yet is charged too.
//
// A [Guard] also bounds the number of connections of its listener: the one that has waited
// longest for a request, or for the rest of a head, gives way to a new one. Connections of
// peers are a [PeerConn]: those without a valid message give way first. Each listener has a
// Guard of its own, with a share of the process's connections ([Conns]), so that a crowd at
// one doesn't keep the clients of another out. All share one pool for the memory of heads.
//
// A connection also replaces the deadlines that net/http sets while it waits for a request,
// since those are constant and the limits of a manifest aren't.
//
// # Usage
//
//	conns := guard.Conns{}.WithDefaults(memory)
//	p := &guard.Process{Limits: limits, Heads: spool.Pool{Max: 4 << 20}, Meter: meter, Log: log}
//	g := &guard.Guard{Name: "callers", MaxConns: conns.Callers}
//	p.Add(g)
//	server.ConnState = guard.SetState // IdleTimeout and ReadHeaderTimeout must be set
//	err := server.Serve(g.Listener(ln))
package guard
