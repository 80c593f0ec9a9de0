package entry

import (
	"math"
	"net"
	"net/http"
	"runtime/debug"

	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/guard"
	"lacewinghook.example/lacewinghook/spool"
)

const (
	// memoryFactor times limits.held is the memory by which the number of callers'
	// connections is bounded: the settings have no limit of the process.
	memoryFactor = 2
	// headShare is the memory of heads as a share of limits.held, as a divisor. The heap
	// may grow to twice what is in use: with an eighth and a factor of 4, a crowd of 1,840
	// callers took the process to 59 and 73 MiB, of which 64 are allowed with 16 MiB of
	// limits.held.
	headShare = 16
	// messageShare is the memory of peers' messages that are being read as a share of
	// limits.held, as a divisor, and minMessages its least value, in bytes, for several of
	// the largest messages.
	messageShare = 16
	minMessages  = 1 << 20
	// runtimeFactor times limits.held is the memory beyond which the Go runtime collects
	// garbage more often. The process may take a factor of 4 in all.
	runtimeFactor = 3
)

// LimitMemory sets the memory limit of the Go runtime for a process that runs one entry. A
// limit that is set by GOMEMLIMIT stays.
func LimitMemory(s *config.Settings) {
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(runtimeFactor * s.Limits.WithDefaults().Held)
	}
}

// guards are the bounds of the connections of each listener.
type guards struct {
	process                   guard.Process
	callers, operators, peers guard.Guard
}

// prepareGuards sets the bounds of the listeners, puts them before the sockets, and bounds
// the messages of peers.
func (e *Entry) prepareGuards() {
	limits := e.Settings.Limits.WithDefaults()
	input := core.InputLimits{Headers: int64(limits.Header), Head: headerTimeout, Idle: idleTimeout}
	conns := guard.Conns{Callers: limits.Connections, Operators: limits.Operators, Peers: limits.Peers}.WithDefaults(memoryFactor * limits.Held)
	e.messages.Max = max(limits.Held/messageShare, minMessages)
	g := &e.guards
	g.process = guard.Process{
		Limits: func() core.InputLimits { return input }, Heads: spool.Pool{Max: limits.Held / headShare}, Meter: &e.meter, Log: e.Log,
	}
	g.callers = guard.Guard{Name: "callers", MaxConns: conns.Callers}
	g.operators = guard.Guard{Name: "operators", MaxConns: conns.Operators}
	g.peers = guard.Guard{Name: "peers", MaxConns: conns.Peers, Messages: true}
	g.process.Add(&g.callers, &g.operators, &g.peers)
	e.Sockets.Callers = g.callers.Listener(e.Sockets.Callers)
	e.Sockets.Operators = g.operators.Listener(e.Sockets.Operators)
	e.Sockets.Peers = g.peers.Listener(e.Sockets.Peers)
}

// onConnState follows the state of a caller's connection.
func (e *Entry) onConnState(conn net.Conn, state http.ConnState) {
	guard.SetState(conn, state)
	e.inFlight.ConnState(conn, state)
}
