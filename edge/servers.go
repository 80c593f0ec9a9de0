package edge

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/flight"
	"lacewinghook.example/lacewinghook/guard"
	"lacewinghook.example/lacewinghook/platform"
	"lacewinghook.example/lacewinghook/sock"
	"lacewinghook.example/lacewinghook/spool"
	"lacewinghook.example/lacewinghook/wire"
)

// guards are the bounds of the connections of each listener.
type guards struct {
	process                                         guard.Process
	callers, directory, readiness, operators, peers guard.Guard
}

// prepareGuards sets the bounds of the listeners. Both arguments are in bytes.
func (e *Edge) prepareGuards(memory, heads int64) {
	l := e.Settings.Limits
	conns := guard.Conns{Callers: l.Connections, Directory: l.Lookups, Readiness: l.Probes, Operators: l.Operators, Peers: l.Peers}.WithDefaults(memory)
	g := &e.guards
	g.process = guard.Process{Limits: callerRunner{e}.Limits, Heads: spool.Pool{Max: heads}, Meter: &e.meter, Log: e.Log}
	g.callers = guard.Guard{Name: "callers", MaxConns: conns.Callers, OnClose: e.logPending}
	g.directory = guard.Guard{Name: "directory", MaxConns: conns.Directory, Prompt: true}
	g.readiness = guard.Guard{Name: "readiness", MaxConns: conns.Readiness, Prompt: true}
	g.operators = guard.Guard{Name: "operators", MaxConns: conns.Operators, Prompt: true}
	g.peers = guard.Guard{Name: "peers", MaxConns: conns.Peers, Messages: true}
	g.process.Add(&g.callers, &g.directory, &g.readiness, &g.operators, &g.peers)
}

// server is a listener with either an HTTP or an RPC server.
type server struct {
	ln   net.Listener
	http *http.Server
	rpc  *wire.Server
	// guard bounds the connections of the listener.
	guard *guard.Guard
	// callers is set for the server of the callers' requests.
	callers bool
}

// serve runs the server. It returns when ctx ends, or earlier if the server
// fails. An HTTP server must be shut down before ctx ends.
func (s *server) serve(ctx context.Context) error {
	if s.rpc != nil {
		return s.rpc.Serve(ctx, s.ln)
	}
	// A stop closes the callers' listener before the server.
	if err := s.http.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// listen opens all listeners before any server starts.
func (e *Edge) listen(ctx context.Context) ([]*server, error) {
	s := e.Settings
	e.inFlight = flight.Tracker{Clock: e.Clock, ID: platform.RequestID}
	ingress := e.server(e.inFlight.Track(&platform.Ingress{
		Runner: callerRunner{e}, Clock: e.Clock, Meter: &e.meter, Log: e.Log, OnEnd: e.logOutcome, Held: &e.bodies, Discards: &e.discards,
	}, e.leaving.Load))
	ingress.ConnState = func(c net.Conn, state http.ConnState) {
		guard.SetState(c, state)
		e.inFlight.ConnState(c, state)
	}
	ingress.ConnContext = e.inFlight.ConnContext
	// The limit in force is checked once the headers have been read: a server's can't change.
	ingress.MaxHeaderBytes = max(http.DefaultMaxHeaderBytes, s.Limits.WithDefaults().Header)
	handlers := []struct {
		addr string
		server
	}{
		{s.Callers.Listen, server{http: ingress, guard: &e.guards.callers, callers: true}},
		{s.Fleet.Directory, server{http: e.promptServer(platform.Resolver(e)), guard: &e.guards.directory}},
		{s.Fleet.Readiness, server{http: e.promptServer(platform.Readiness(e)), guard: &e.guards.readiness}},
		{s.Peers.Listen, server{guard: &e.guards.peers, rpc: &wire.Server{Log: e.Log, Meter: &e.meter, Held: &e.messages, Methods: map[wire.Method]wire.MethodHandler{
			wire.MethodHello:    wire.OnHeartbeat(e.gossip.HandleHeartbeat),
			wire.MethodSnapshot: wire.TypedHandler(e.serveSnapshot),
			wire.MethodPlace:    wire.OnPlace(e.placer.Serve),
			wire.MethodWork:     wire.OnWork(e.placer.HandleReport),
			wire.MethodSlot:     wire.OnSlot(e.slotDesk.Serve),
			wire.MethodEnds:     wire.OnEnds(e.slotDesk.HandleEnds),
			wire.MethodTrial:    wire.OnTrial(e.permitTrial),
			wire.MethodQuota:    wire.OnQuota(e.limits.Serve),
		}, Blocking: []wire.Method{wire.MethodPlace, wire.MethodQuota, wire.MethodSlot}}}},
		{s.Fleet.Metrics, server{http: e.promptServer(e.operatorPages()), guard: &e.guards.operators}},
	}
	var all []*server
	for i := range handlers {
		h := &handlers[i]
		if h.addr == "" {
			continue
		}
		listen := sock.Listen
		if h.callers {
			listen = sock.ListenCallers
		}
		ln, err := e.listener(ctx, h.addr, listen)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", h.addr)
		}
		h.ln = h.guard.Listener(ln)
		all = append(all, &h.server)
	}
	return all, nil
}

// listener returns the listener in Listeners with that address, or opens one.
func (e *Edge) listener(ctx context.Context, addr string, listen func(context.Context, string) (net.Listener, error)) (net.Listener, error) {
	for _, ln := range e.Listeners {
		if ln.Addr().String() == addr {
			return ln, nil
		}
	}
	return listen(ctx, addr)
}

// server returns an HTTP server whose internal errors are logged at debug
// level.
func (e *Edge) server(h http.Handler) *http.Server {
	errs, err := zap.NewStdLogAt(e.Log, zap.DebugLevel)
	if err != nil {
		errs = zap.NewStdLog(e.Log)
	}
	return &http.Server{Handler: h, ReadHeaderTimeout: guard.HeadTimeout.Duration(), IdleTimeout: guard.IdleTimeout.Duration(), ErrorLog: errs}
}

// promptTimeout bounds the time to read a request that is answered at once, and that to
// write its answer.
const promptTimeout = guard.HeadTimeout

// promptServer returns an HTTP server for requests that are answered at once.
func (e *Edge) promptServer(h http.Handler) *http.Server {
	s := e.server(h)
	s.ConnState = guard.SetState
	s.ReadTimeout, s.WriteTimeout = promptTimeout.Duration(), promptTimeout.Duration()
	return s
}
