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
	"lacewinghook.example/lacewinghook/store"
	"lacewinghook.example/lacewinghook/sweep"
	"lacewinghook.example/lacewinghook/token"
	"lacewinghook.example/lacewinghook/wire"
)

// Entry is one entry instance. Settings and Log are needed.
type Entry struct {
	Settings *config.Settings
	Log      *zap.Logger
	Clock    clock.Clock
	// Sockets are listeners that are already open; those that are nil are
	// opened by Run.
	Sockets Sockets
	// Linger is how long an entry that stops goes on taking new work, since
	// callers may still hold its address; zero is some seconds over the life
	// of an answer of addresses.
	Linger clock.Millis
	// Life is how long callers may keep an answer of addresses; zero is
	// [member.AddressTTL].
	Life clock.Millis
	// Advertise is the address that peers use for this entry; empty is that
	// of the socket.
	Advertise string
	// ResumeKey signs the resume tokens; empty is read from the settings'
	// file.
	ResumeKey string

	owner    core.Owner
	leaving  atomic.Bool
	self     atomic.Pointer[standing]
	flights  flight.Tracker
	meter    meter.Set
	book     pubdoc.ActiveDocument
	follower pubdoc.Updater
	desk     pubdoc.Publisher
	drains   drain.Book
	draining sync.Mutex
	gate     drain.Gate
	pool     pool.Table
	members  member.Table
	store    store.Client
	engines  engine.Client
	peers    wire.Client
	cancels  abort.Queue
	suspects poison.Quarantine
	budget   limit.Budget
	places   sched.Scheduler
	ledger   grant.Ledger
	shared   grant.LeaseClient
	sweeper  sweep.Sweeper
	orders   idem.Executor
	keeper   lease.Keeper
	reports  share.Reader
	// updates wakes the heartbeats, listed does so with the first list, and met
	// closes metAll once all partners were asked.
	updates notify.Signal
	listed  sync.Once
	met     sync.Once
	metAll  chan struct{}

	deathInit, kill sync.Once
	death           chan struct{}
}

// Sockets are an entry's listeners.
type Sockets struct {
	Callers, Operators, Peers net.Listener
}

// Run serves until ctx ends, and then stops without cutting a request: it
// says that it is leaving, goes on for the linger, and waits for all that is
// in flight.
func (e *Entry) Run(ctx context.Context) error {
	if err := e.listen(); err != nil {
		return err
	}
	e.prepare()
	if err := e.secure(); err != nil {
		return err
	}
	// work goes on while the entry stops and ends last of all.
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, work := errgroup.WithContext(work)
	callers := e.server(e.flights.Track(e.callers(), e.leaving.Load))
	callers.ConnState = e.flights.ConnState
	operators := e.server(e.operators())
	g.Go(func() error { return serve(callers, e.Sockets.Callers) })
	g.Go(func() error { return serve(operators, e.Sockets.Operators) })
	g.Go(func() error {
		return (&wire.Server{Handler: e, Methods: e.peerMethods(), Log: e.Log, Certs: e.peers.Certs}).Serve(work, e.Sockets.Peers)
	})
	e.background(work, g)
	g.Go(func() error {
		defer end()
		select {
		case <-ctx.Done():
		case <-work.Done():
		case <-e.killed():
			return errors.Join(callers.Close(), operators.Close())
		}
		return e.stop(work, callers, operators)
	})
	e.Log.Info("entry: serving", zap.String("callers", e.Sockets.Callers.Addr().String()))
	err := g.Wait()
	e.cancels.Close()
	e.peers.Close()
	return err
}

// Meter returns the entry's counters.
func (e *Entry) Meter() *meter.Set {
	return &e.meter
}

// Bounds of the HTTP listeners.
const (
	headerTimeout = 5 * clock.Second
	idleTimeout   = 2 * clock.Minute
)

func (e *Entry) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout.Std(),
		IdleTimeout:       idleTimeout.Std(),
		MaxHeaderBytes:    e.Settings.Limits.Filled().Header,
		ErrorLog:          e.httpLog(),
	}
}

// httpLog takes what net/http has to say, such as failed TLS handshakes.
func (e *Entry) httpLog() *log.Logger {
	l, err := zap.NewStdLogAt(e.Log.Named("http"), zap.DebugLevel)
	if err != nil {
		return nil
	}
	return l
}

func serve(s *http.Server, ln net.Listener) error {
	err := s.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "entry: listener")
}

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
	return nil
}

// prepare connects the parts.
func (e *Entry) prepare() {
	s := e.Settings
	e.owner = core.Owner{Instance: s.Instance, Boot: core.NewBoot()}
	e.flights.Clock = e.Clock
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
	e.preparePoison()
	e.prepareSweep()
	e.prepareKeeper()
	e.prepareShare()
	e.prepareGrant()
	if e.Advertise != "" {
		e.members.Self.Peer = e.Advertise
	}
	e.members.Boot = e.owner.Boot
	e.members.State = e.state
	e.members.Load = e.flights.Len
	e.members.OnChange = e.updates.Send
	e.peers.Names = &e.members
	e.peers.Log = e.Log
	e.prepareNews()
	e.announce()
}

func (e *Entry) callers() http.Handler {
	s := &front.Server{
		Runner:  e.newFlow(),
		Plain:   e.plain(),
		Views:   &e.book,
		Members: &e.members,
		Gate:    &e.members,
		IDs:     &core.Sequence{Owner: e.owner},
		Clock:   e.Clock,
		Log:     e.Log,
		Life:    e.life(),
		State:   e.state,
		Limits:  e.Settings.Limits,
		Meter:   &e.meter,
		Signer:  token.Signer{Key: []byte(e.ResumeKey)},
	}
	return s.Handler()
}
