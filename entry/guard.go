package entry

import (
	"cmp"
	"net"
	"net/http"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/guard"
)

const (
	// memoryFactor times limits.held is the memory by which the number of callers'
	// connections is bounded: the settings have no limit of the process.
	memoryFactor = 2
	// headShare is the memory of heads as a share of limits.held, as a divisor. The heap
	// grows to twice what is in use, since the process has no memory limit: with an eighth
	// and a factor of 4, a crowd of 1,840 callers took it to 59 and 73 MiB, of which 64
	// are allowed with 16 MiB of limits.held.
	headShare = 16
)

// guardCallers returns a listener that bounds the connections of callers and the heads of
// their requests. One with TLS is returned unchanged, since the heads can't be read there.
func (e *Entry) guardCallers(ln net.Listener) net.Listener {
	if e.Settings.Callers.TLS() {
		return ln
	}
	limits := e.Settings.Limits.WithDefaults()
	input := core.InputLimits{Headers: int64(limits.Header), Head: headerTimeout, Idle: idleTimeout}
	g := &e.guard
	g.Limits = func() core.InputLimits { return input }
	g.Closing = e.closer.Len
	g.MaxConns = cmp.Or(limits.Connections, guard.DefaultConns(memoryFactor*limits.Held))
	g.Heads.Max = limits.Held / headShare
	g.Meter, g.Log = &e.meter, e.Log
	g.Register()
	return g.Listener(ln)
}

// onConnState follows the state of a caller's connection.
func (e *Entry) onConnState(conn net.Conn, state http.ConnState) {
	guard.SetState(conn, state)
	e.inFlight.ConnState(conn, state)
}
