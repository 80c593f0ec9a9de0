package entry

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lacewinghook.example/lacewinghook/abort"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/drain"
	"lacewinghook.example/lacewinghook/engine"
	"lacewinghook.example/lacewinghook/flight"
	"lacewinghook.example/lacewinghook/front"
	"lacewinghook.example/lacewinghook/grant"
	"lacewinghook.example/lacewinghook/guard"
	"lacewinghook.example/lacewinghook/idem"
	"lacewinghook.example/lacewinghook/lease"
	"lacewinghook.example/lacewinghook/limit"
	"lacewinghook.example/lacewinghook/member"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/notify"
	"lacewinghook.example/lacewinghook/poison"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/pubdoc"
	"lacewinghook.example/lacewinghook/sched"
	"lacewinghook.example/lacewinghook/share"
	"lacewinghook.example/lacewinghook/spool"
	"lacewinghook.example/lacewinghook/store"
	"lacewinghook.example/lacewinghook/sweep"
	"lacewinghook.example/lacewinghook/token"
	"lacewinghook.example/lacewinghook/wire"
)

// Entry is one entry instance. Settings and Log are required.
type Entry struct {
	Settings *config.Settings
	Log      *zap.Logger
	Clock    clock.Clock
	// Sockets holds listeners that are already open. Run opens the nil ones.
	Sockets Sockets
	// Linger is how long a stopping entry continues to accept new work, since
	// callers may still cache its address. Zero takes the value from Settings
	// or, if that is zero too, a few seconds more than the address TTL.
	Linger clock.Millis
	// AddressTTL is how long callers may cache the address list. Zero means
	// [member.AddressTTL].
	AddressTTL clock.Millis
	// Advertise is the address at which peers reach this entry. Empty means the
	// address of the peer socket.
	Advertise string
	// ResumeKey signs the resume tokens. If empty, it is read from the file
	// that Settings.ResumeKey names.
	ResumeKey string

	// owner identifies this run of the instance.
	owner        core.Owner
	leaving      atomic.Bool // set when the stop begins
	currentState atomic.Pointer[ownState]
	inFlight     flight.Tracker
	// guards bound the connections of the listeners and the heads of their requests, and
	// messages the memory of peers' messages that are being read.
	guards       guards
	messages     spool.Pool
	meter        meter.Registry
	document     pubdoc.ActiveDocument
	updater      pubdoc.Updater
	publisher    pubdoc.Publisher
	drains       drain.ActiveDrains
	applyMu      sync.Mutex // serializes applyDrains
	gate         drain.Gate // checked right before work is sent
	pool         pool.Table
	members      member.Table
	store        store.Client
	engines      engine.Client
	peers        wire.Client
	cancels      abort.Queue // cancels that engines have not confirmed
	quarantine   poison.Quarantine
	retryBudget  limit.Budget
	scheduler    sched.Scheduler
	ledger       grant.Ledger      // leases granted as the owner
	leaseClient  grant.LeaseClient // leases held
	sweeper      sweep.Sweeper
	orders       idem.Executor
	reconciler   lease.Reconciler // desired states of engine groups
	reportReader share.Reader
	// heartbeatNow starts a heartbeat round at once. firstListOnce triggers it
	// after the first read of the instance list. peersAskedOnce closes peersAsked
	// when all partners of one round have answered or failed.
	heartbeatNow   notify.Signal
	firstListOnce  sync.Once
	peersAskedOnce sync.Once
	peersAsked     chan struct{}

	// killedInit creates killedChan, which Kill closes once.
	killedInit, killOnce sync.Once
	killedChan           chan struct{}
}

// Sockets holds an entry's listeners.
type Sockets struct {
	Callers, Operators, Peers net.Listener
}

// Run serves until ctx ends or a server fails, and then stops without aborting a
// request: it announces that it is leaving, keeps serving for the linger period,
// and waits until no request is in flight.
func (e *Entry) Run(ctx context.Context) error {
	if err := e.listen(); err != nil {
		return err
	}
	e.prepare()
	if err := e.configureTLS(); err != nil {
		return err
	}
	// workCtx stays active while the entry stops and is cancelled last.
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stopping, beginStop := context.WithCancel(ctx)
	defer beginStop()
	callers := e.newHTTPServer(e.inFlight.Track(e.callerHandler(), e.leaving.Load))
	callers.ConnState, callers.ConnContext = e.onConnState, e.inFlight.ConnContext
	operators := e.newHTTPServer(e.operatorHandler())
	operators.ConnState = guard.SetState
	var g errgroup.Group
	for name, run := range map[string]func() error{
		"callers":   func() error { return serve(callers, e.Sockets.Callers) },
		"operators": func() error { return serve(operators, e.Sockets.Operators) },
		"peers": func() error {
			return (&wire.Server{Meter: &e.meter, Held: &e.messages, Handler: e, Methods: e.peerMethods(), Log: e.Log, Certs: e.peers.Certs}).Serve(workCtx, e.Sockets.Peers)
		},
	} {
		g.Go(func() error {
			err := run()
			if err != nil {
				e.Log.Error("entry: a server failed", zap.String("server", name), zap.Error(err))
				beginStop()
			}
			return err
		})
	}
	e.background(workCtx, &g)
	g.Go(func() error {
		defer cancel()
		select {
		case <-stopping.Done():
		case <-e.killed():
			return errors.Join(callers.Close(), operators.Close())
		}
		return e.stop(workCtx, callers, operators)
	})
	e.Log.Info("entry: serving", zap.String("callers", e.Sockets.Callers.Addr().String()))
	err := g.Wait()
	e.cancels.Close()
	e.peers.Close()
	return err
}

// Meter returns the entry's metrics.
func (e *Entry) Meter() *meter.Registry {
	return &e.meter
}

// Timeouts of the HTTP listeners.
const (
	headerTimeout = 5 * clock.Second // for reading a request's header
	idleTimeout   = 2 * clock.Minute // of a keep-alive connection
)

// newHTTPServer returns a server for h with the limits of the settings.
func (e *Entry) newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    e.Settings.Limits.WithDefaults().Header,
		ErrorLog:          e.httpLog(),
	}
}

// httpLog returns a logger for errors in net/http, such as failed TLS
// handshakes. They are logged at debug level.
func (e *Entry) httpLog() *log.Logger {
	l, err := zap.NewStdLogAt(e.Log.Named("http"), zap.DebugLevel)
	if err != nil {
		return nil
	}
	return l
}

// serve runs s on ln and returns nil if the listener was closed.
func serve(s *http.Server, ln net.Listener) error {
	err := s.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "entry: listener")
}

// listen opens the sockets that are not open yet.
func (e *Entry) listen() error {
	for _, l := range []struct {
		socket *net.Listener
		addr   string
	}{
		{&e.Sockets.Callers, e.Settings.Callers.Listen},
		{&e.Sockets.Operators, e.Settings.Operators.Listen},
		{&e.Sockets.Peers, e.Settings.Peers.Listen},
	} {
		if *l.socket != nil {
			continue
		}
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return errors.Wrap(err, "entry: listen")
		}
		*l.socket = ln
	}
	e.prepareGuards()
	return nil
}

// prepare connects the components. The sockets must be open.
func (e *Entry) prepare() {
	s := e.Settings
	e.owner = core.Owner{Instance: s.Instance, Boot: core.NewBoot()}
	e.inFlight.Clock = e.Clock
	e.store = store.Client{Base: s.Platform.Base}
	e.engines.Clock = e.Clock
	e.engines.HTTP = &http.Client{Transport: engine.NewTransport()}
	e.pool.Clock = e.Clock
	e.members.Clock = e.Clock
	e.members.Self = core.Instance{
		Name: s.Instance, Centre: s.Centre, State: core.Live,
		Addr: e.Sockets.Callers.Addr().String(), Peer: e.Sockets.Peers.Addr().String(),
	}
	e.prepareFlow()
	e.prepareQuarantine()
	e.prepareSweep()
	e.prepareReconciler()
	e.prepareReports()
	e.prepareLeases()
	if e.Advertise != "" {
		e.members.Self.Peer = e.Advertise
	}
	e.members.Boot = e.owner.Boot
	e.members.State = e.state
	e.members.Load = e.inFlight.Len
	e.members.OnChange = e.heartbeatNow.Send
	e.peers.Names = &e.members
	e.peers.Log = e.Log
	e.prepareDocument()
	e.updateState()
}

// callerHandler returns the HTTP interface for callers.
func (e *Entry) callerHandler() http.Handler {
	s := &front.Server{
		Runner:     e.newFlow(),
		Plain:      e.newPlainCaller(),
		Documents:  &e.document,
		Members:    &e.members,
		Gate:       &e.members,
		IDs:        &core.Sequence{Owner: e.owner},
		Clock:      e.Clock,
		Log:        e.Log,
		AddressTTL: e.addressTTL(),
		State:      e.state,
		Limits:     e.Settings.Limits,
		Meter:      &e.meter,
		Signer:     token.Signer{Key: []byte(e.ResumeKey)},
		Held:       spool.Pool{Max: e.Settings.Limits.WithDefaults().Held},
	}
	return s.Handler()
}
