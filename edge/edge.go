package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lacewinghook.example/lacewinghook/alloc"
	"lacewinghook.example/lacewinghook/assign"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/flight"
	"lacewinghook.example/lacewinghook/gossip"
	"lacewinghook.example/lacewinghook/hserv"
	"lacewinghook.example/lacewinghook/limit"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/notice"
	"lacewinghook.example/lacewinghook/notify"
	"lacewinghook.example/lacewinghook/platform"
	"lacewinghook.example/lacewinghook/poison"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/quota"
	"lacewinghook.example/lacewinghook/relay"
	"lacewinghook.example/lacewinghook/shard"
	"lacewinghook.example/lacewinghook/slots"
	"lacewinghook.example/lacewinghook/spool"
	"lacewinghook.example/lacewinghook/vhost"
	"lacewinghook.example/lacewinghook/watch"
	"lacewinghook.example/lacewinghook/wire"
	"lacewinghook.example/lacewinghook/zones"
)

// Edge is one entry. Settings is required.
type Edge struct {
	Settings *config.Settings
	Log      *zap.Logger
	Clock    clock.Clock
	// Listeners holds listeners that are already open. Run opens listeners for the
	// other addresses in the settings.
	Listeners []net.Listener

	// boot identifies this run of the entry.
	boot uint64
	// startedAt is the instant at which the entry started.
	startedAt clock.Millis
	// leaving is set once the entry has begun to stop.
	leaving atomic.Bool
	// stopBegun and stopBy are the instants at which a stop begins and ends, cachedUntil
	// that until which callers may use the address lists that they have, and lingerUntil
	// that until which new connections are accepted; all are set before leaving.
	stopBegun, stopBy, cachedUntil, lingerUntil atomic.Int64
	// peerWork is signalled when a peer has sent its work. It wakes wakeQueues.
	peerWork notify.Signal
	// applyMu serializes applyPool.
	applyMu sync.Mutex
	// applied is set once applyPool has applied a manifest and a list of
	// replicas.
	applied atomic.Bool
	// peerWorkStale is set when the pool's copy of the peers' work is out of
	// date.
	peerWorkStale atomic.Bool
	// manifestAt is the instant at which the current manifest was applied.
	manifestAt atomic.Int64
	// snapshotTook is how long a peer took for its state when one last answered.
	snapshotTook atomic.Int64
	// fleet is the current list of replicas, nil before the first one.
	fleet    atomic.Pointer[core.Fleet]
	meter    meter.Registry
	routes   vhost.Table
	pool     pool.Table
	store    platform.Store
	replicas platform.ReplicaClient
	gossip   gossip.Table
	watcher  watch.Watcher
	relay    relay.Relay
	peers    wire.Client
	// crashes finds out whether upstreams have crashed.
	crashes poison.Quarantine
	// tainted holds the parts of prompts that crash upstreams, and requests the digests of
	// whole requests that do.
	tainted, requests suspects
	// trialFinder finds the owner of the trials.
	trialFinder assign.Finder
	// notices holds what replicas state about themselves.
	notices notice.Table
	// desk, ledger and placer place completions. groups divides the engines among
	// owners, and readRank is this entry's place in the order of reads.
	desk     alloc.Desk
	ledger   alloc.Ledger
	placer   alloc.Client
	groups   atomic.Pointer[groups]
	readRank atomic.Int64
	budgets  shard.Map[string, *limit.Window]
	// limits holds workspaces to their limits.
	limits quota.Client
	// slotDesk and slots grant the calls of plain services slots, and slotGroups divides the
	// replicas among owners.
	slotDesk slots.Desk
	// zones decides which of the calls that slotDesk places leave their zones.
	zones      zones.Gate
	slots      slots.Client
	slotGroups atomic.Pointer[slotGroups]
	// inFlight tracks the requests and connections of callers.
	inFlight flight.Tracker
	// bodies bounds the bytes of callers' bodies and of the starts of answers that are
	// held, and partial those of events of which a part has arrived.
	bodies, partial spool.Pool
	// guards bound the connections of the listeners and the heads of their requests.
	guards guards
	// discards bounds the work for the bodies of rejected requests.
	discards hserv.Discards
	// messages bounds the bytes of peers' messages that are being read.
	messages spool.Pool
	// tables bounds the bytes of the store's tables that are being read.
	tables spool.Pool
	// durations estimates how long requests take.
	durations flight.Durations
	// longAnswers holds the kinds of calls of which an answer was begun before its end was
	// read.
	longAnswers shard.Map[string, struct{}]
}

// Run serves until ctx ends or a part of the entry fails, then drains the requests in flight
// and stops. The error is that of the part.
func (e *Edge) Run(ctx context.Context) error {
	e.prepare()
	servers, err := e.listen(ctx)
	if err != nil {
		return err
	}
	stopping, beginStop := context.WithCancel(ctx)
	defer beginStop()
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g errgroup.Group
	for _, s := range servers {
		g.Go(func() error {
			err := s.serve(runCtx)
			if err != nil {
				e.Log.Error("edge: a server failed", zap.Stringer("addr", s.ln.Addr()), zap.Error(err))
				beginStop()
			}
			return err
		})
	}
	for _, run := range []func(context.Context){e.gossip.Run, e.watcher.Run, e.placer.Run, e.tainted.Run, e.requests.Run, e.limits.Run, e.slots.Run, e.slotDesk.Run, e.wakeQueues} {
		g.Go(func() error { run(runCtx); return nil })
	}
	g.Go(func() error { e.Clock.Every(runCtx, deadCheckInterval, e.removeDeadEntries); return nil })
	g.Go(func() error {
		defer cancel()
		<-stopping.Done()
		e.stop(runCtx, servers)
		return nil
	})
	e.Log.Info("edge: started", zap.String("instance", e.Settings.Instance), zap.String("callers", e.Settings.Callers.Listen),
		zap.Uint64("boot", e.boot), zap.Bool("fresh", e.Settings.Fleet.Fresh), zap.String("store", e.Settings.Fleet.Store))
	err = g.Wait()
	e.peers.Close()
	e.Log.Info("edge: stopped", zap.Error(err))
	return err
}

// prepare initializes the components and connects them.
func (e *Edge) prepare() {
	if e.Log == nil {
		e.Log = zap.NewNop()
	}
	e.setRuntimeLimits()
	s := e.Settings
	e.boot = core.NewBoot()
	e.startedAt = e.Clock.Now()
	e.pool.Clock = e.Clock
	e.store = platform.Store{Addr: s.Fleet.Store, Clock: e.Clock, Held: &e.tables}
	e.notices = notice.Table{
		Self: s.Instance, Drain: s.Fleet.Drain, OnLeaving: e.gossip.Trigger, OnResume: e.peerWork.Send,
		Clock: e.Clock, Meter: &e.meter, Log: e.Log,
	}
	e.replicas.Clock, e.replicas.Notices = e.Clock, &e.notices
	e.peers.Log = e.Log
	self := e.self()
	e.gossip = gossip.Table{
		Sender: &e.peers, Self: self.Peer, Clock: e.Clock, Log: e.Log,
		Heartbeat: e.heartbeat, Extend: e.extendHeartbeat, Unsent: e.onUnsent, Forget: e.forgetPeer, OnHeartbeat: e.onHeartbeat,
	}
	e.gossip.AddAddresses(s.Seeds)
	e.watcher = watch.Watcher{
		Source: &e.store, Peers: e, Self: self, Clock: e.Clock, Log: e.Log, Meter: &e.meter,
		OnManifest: e.applyManifest, OnFleet: e.applyFleet, OnEntries: e.applyEntries, OnRestore: e.onRestore, Fresh: s.Fleet.Fresh,
	}
	e.meter.Gauge("manifest_version", func() float64 { return float64(e.watcher.ManifestState().Version) })
	e.meter.Gauge("manifest_behind_ms", func() float64 { return float64(e.watcher.ManifestState().Behind) })
	e.meter.Gauge("replicas_age_ms", func() float64 { _, age := e.watcher.FleetAge(); return float64(age) })
	e.crashes = poison.Quarantine{Engines: &e.replicas, Boots: e, Clock: e.Clock, Meter: &e.meter, Log: e.Log, Self: s.Instance}
	e.tainted.init(e, nil, e.store.TaintedParts())
	e.requests.init(e, &e.tainted.Table, e.store.PoisonRequests())
	table := &announcingPool{Table: &e.pool, edge: e}
	e.preparePlacer(table, self)
	e.prepareQuota(self)
	e.prepareSlots(self)
	memory := int64(cmp.Or(s.Fleet.Memory, defaultMemoryMiB)) << 20
	heap := float64(memory) * memoryShare
	e.bodies.Max, e.partial.Max = int64(heap*bodyShare), int64(heap*partialShare)
	e.messages.Max, e.tables.Max = int64(heap*messageShare), int64(heap*tableShare)
	e.prepareGuards(memory, int64(heap*headShare))
	e.relay = relay.Relay{
		Upstreams: &e.replicas, Pool: table, Placer: &e.placer, Slots: &e.slots, Budget: e, Quarantine: crashDetector{e}, Finisher: e, Notices: &e.notices, Specs: e.spec, ReplicaList: e.watcher.FleetAge,
		Clock: e.Clock, Meter: &e.meter, Log: e.Log, Centre: s.Centre, MaxSilence: s.Fleet.Silence,
		Held: &e.partial, Kept: &e.bodies,
	}
}

// memoryShare is the fraction of the process memory available to the Go heap.
// The rest is for stacks, socket buffers and the program itself.
const memoryShare = 0.6

// defaultMemoryMiB is the memory by which bytes from outside are bounded if the settings
// have no limit.
const defaultMemoryMiB = 256

// Fractions of the Go heap that may hold bytes from outside. They are apart, so that
// no kind takes the room of another. Half as much again may be in use by those that
// were just cut.
const (
	// bodyShare is for the bodies of callers' requests and the starts of answers.
	bodyShare = 0.4
	// partialShare is for events of which a part has arrived.
	partialShare = 0.2
	// messageShare is for messages of peers, which are short.
	messageShare = 0.05
	// tableShare is for tables of the store.
	tableShare = 0.15
	// headShare is for the heads of the requests at all listeners beyond a few KiB each.
	headShare = 0.1
)

// setRuntimeLimits sets the Go runtime's memory and CPU limits to those of
// the instance.
func (e *Edge) setRuntimeLimits() {
	f := e.Settings.Fleet
	if f.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(f.Memory) * memoryShare * (1 << 20)))
	}
	if f.Cores > 0 {
		runtime.GOMAXPROCS(f.Cores)
	}
}

// operatorPages serves what operators may read.
func (e *Edge) operatorPages() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", e.metrics)
	mux.HandleFunc("GET /quarantine", func(w http.ResponseWriter, _ *http.Request) {
		e.writePage(w, slices.Concat(e.tainted.View(), e.requests.View()))
	})
	mux.HandleFunc("GET /replicas", func(w http.ResponseWriter, _ *http.Request) { e.writePage(w, e.notices.View()) })
	mux.HandleFunc("GET /explain", e.explainPage)
	return mux
}

// writePage writes v in JSON.
func (e *Edge) writePage(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		e.Log.Info("edge: writing a page for operators failed", zap.Error(err))
	}
}

// metrics writes the metrics page.
func (e *Edge) metrics(w http.ResponseWriter, _ *http.Request) { e.meter.Write(w) }
