package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/extsim"
	"lacewinghook.example/lacewinghook/osproc"
	"lacewinghook.example/lacewinghook/proxy"
)

// The platform's bounds and the limits of an instance, those of the users' sheets.
const (
	grace       = 8 * clock.Second
	keep        = 1 * clock.Second
	drain       = 2 * clock.Second
	memoryLimit = 134 // MiB
)

// Services and their replicas.
const (
	serviceVerse = "verse"
	serviceDesk  = "desk"
	serviceClerk = "clerk"
	eventCount   = 40
)

// longWork is the time that a plain service needs for one request in sixteen: longer than
// work may go on without its caller.
const longWork = time.Second

// answerBody is the answer of a plain service, after the ID of the request.
var answerBody = strings.Repeat("answer ", 110)

// replica is a stand-in, reached through a proxy.
type replica struct {
	n     int
	sim   *extsim.Replica
	proxy *proxy.Proxy
	// left is the instant at which the store accepted that it leaves.
	left time.Time
	// mu is held while a step changes the replica.
	mu sync.Mutex
}

// entry is an entry and its current process.
type entry struct {
	n        int
	name     string
	settings config.Settings
	file     string
	store    *proxy.Proxy

	// state guards the fields below it.
	state sync.Mutex
	proc  *osproc.Process
	boot  Boot
	up    bool
	// listening is set once the process was seen to serve callers.
	listening bool
	// term is closed when the process gets SIGTERM.
	term chan struct{}
}

// rig is the platform, the replicas and the entries of a run.
type rig struct {
	recorder
	o       Options
	dir     string
	program string
	store   *extsim.Store
	entries []*entry
	guards  []net.Listener
	wait    sync.WaitGroup // of the goroutines that watch processes
	// running ends when processes that have ended aren't started again.
	running context.Context
	endRun  context.CancelFunc
	steps   sync.WaitGroup // of the steps in progress
	// restoring is held from the copy of the store to its last write after the restore.
	restoring sync.Mutex

	mu       sync.Mutex
	replicas []*replica // all that ever ran
	ready    []*replica
	manifest int
	probes   []int
	// paces has the work on each request, by its ID.
	paces sync.Map
	seed  uint64
	// burst is closed and replaced when callers shall send at once.
	burst chan struct{}
}

// newRig starts everything and returns once all entries are ready. close must be called
// also if it returns an error.
func newRig(ctx context.Context, o Options, dir, program string, seed uint64) (*rig, error) {
	g := &rig{recorder: recorder{start: time.Now()}, o: o, dir: dir, program: program, seed: seed, burst: make(chan struct{})}
	g.running, g.endRun = context.WithCancel(ctx)
	g.h.Grace = grace
	g.store = extsim.StartStore()
	for i := range o.Replicas {
		service, phase := serviceVerse, "decode"
		switch i % 4 {
		case 0:
			phase = "prefill"
		case 2:
			service, phase = serviceDesk, ""
		case 3:
			service, phase = serviceClerk, ""
		}
		if err := g.addReplica(service, phase); err != nil {
			return g, err
		}
	}
	g.publish(newRand(seed, 2))
	for n := range o.Entries {
		if err := g.addEntry(n); err != nil {
			return g, err
		}
	}
	for _, e := range g.entries {
		for _, peer := range g.entries[:min(3, len(g.entries))] {
			e.settings.Seeds = append(e.settings.Seeds, peer.settings.Peers.Listen)
		}
		if err := g.launch(e); err != nil {
			return g, err
		}
	}
	for _, e := range g.entries {
		if err := g.awaitReady(ctx, e); err != nil {
			return g, err
		}
	}
	return g, nil
}

// close ends everything that the rig has started.
func (g *rig) close() {
	g.endRun()
	for _, e := range g.entries {
		e.state.Lock()
		if e.proc != nil {
			// SIGKILL ends a stopped process, too; the error means that it has exited.
			_ = e.proc.Signal(syscall.SIGKILL)
			<-e.proc.Done()
		}
		e.state.Unlock()
	}
	g.wait.Wait()
	for _, r := range g.replicas {
		r.sim.Stop()
		r.proxy.Close()
	}
	for _, e := range g.entries {
		e.store.Close()
	}
	g.store.Close()
	for _, ln := range g.guards {
		_ = ln.Close()
	}
}

// addReplica starts a replica and registers it.
func (g *rig) addReplica(service, phase string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &replica{n: len(g.replicas)}
	r.sim = extsim.StartReplica(fmt.Sprintf("i-%04d", r.n), service, phase)
	r.sim.Tagged, r.sim.Body, r.sim.EventCount = true, answerBody, eventCount
	// Replicas differ in speed.
	r.sim.Work = func(id string) time.Duration { return g.workOf(id, time.Duration(20+r.n%5*25)*time.Millisecond) }
	r.sim.Pace = g.paceOf
	r.sim.EventInterval = time.Duration(10+r.n%4*20) * time.Millisecond
	r.sim.PrefillTime = 20 * time.Millisecond
	r.sim.Silence = time.Second
	r.sim.DeadlyParts = []string{deadlyPart}
	r.sim.RepeatDelay = 20 * time.Millisecond
	r.proxy = &proxy.Proxy{Target: r.sim.Addr}
	addr, err := r.proxy.Listen()
	if err != nil {
		return errors.Wrap(err, "soak: replica")
	}
	r.sim.Addr = addr
	r.sim.OnStop = r.proxy.Close
	g.replicas = append(g.replicas, r)
	g.ready = append(g.ready, r)
	g.store.Put(extsim.ReplicaTable, r.sim.ID, r.sim.Row("ready"))
	return nil
}

// Ports of the entries lie below the range of the other tests and the ephemeral ports of
// the operating system.
const (
	firstPort     = 10240
	lastPort      = 12000
	portsPerEntry = 6
)

// reservePorts returns the first port of a free block and keeps a listener on the port
// before it, so that other soaks don't use the block.
func (g *rig) reservePorts() (int, error) {
	for port := firstPort; port+portsPerEntry <= lastPort; port += portsPerEntry {
		guard, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		g.guards = append(g.guards, guard)
		free := true
		for i := 1; i < portsPerEntry; i++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+i))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return port + 1, nil
		}
	}
	return 0, errors.New("soak: no free ports")
}

// addEntry prepares the settings of an entry and its proxy to the store.
func (g *rig) addEntry(n int) error {
	port, err := g.reservePorts()
	if err != nil {
		return err
	}
	addr := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", port+i) }
	e := &entry{n: n, name: fmt.Sprintf("edge-%d", n), store: &proxy.Proxy{Target: g.store.Addr}}
	store, err := e.store.Listen()
	if err != nil {
		return errors.Wrap(err, "soak: entry")
	}
	g.entries = append(g.entries, e)
	e.file = filepath.Join(g.dir, e.name+".json")
	e.settings = config.Settings{
		Instance: e.name, Centre: "moose-jaw",
		Callers: config.Listener{Listen: addr(0)}, Peers: config.Listener{Listen: addr(1)},
		Fleet: &config.Fleet{
			Store: store, Directory: addr(2), Readiness: addr(3), Metrics: addr(4),
			Memory: memoryLimit, Cores: 1, Grace: config.Seconds(float64(grace) / float64(clock.Second)), Keep: keep, Drain: drain,
			Retries: config.Retries{Ratio: 0.2, Slack: 58, Span: 10}, Fresh: true,
		},
	}
	return nil
}

// currentBoot returns the number of the entry's last start.
func (e *entry) currentBoot() int {
	e.state.Lock()
	defer e.state.Unlock()
	return e.boot.Boot
}

// stopping returns a channel that is closed when the current process gets SIGTERM.
func (e *entry) stopping() <-chan struct{} {
	e.state.Lock()
	defer e.state.Unlock()
	return e.term
}

// launch starts the process of an entry.
func (g *rig) launch(e *entry) error {
	data, err := json.Marshal(e.settings)
	if err != nil {
		return errors.Wrap(err, "soak: settings")
	}
	if err := os.WriteFile(e.file, data, 0o600); err != nil {
		return errors.Wrap(err, "soak: settings")
	}
	proc, err := osproc.Launch(e.name, e.settings.Callers.Listen, filepath.Join(g.dir, e.name+".log"), g.program, "serve", "-config", e.file)
	if err != nil {
		return err
	}
	// Later starts belong to a system that runs already.
	e.settings.Fleet.Fresh = false
	e.state.Lock()
	e.proc, e.up, e.listening, e.term = proc, true, false, make(chan struct{})
	e.boot = Boot{Entry: e.n, Boot: e.boot.Boot + 1, From: g.now()}
	e.state.Unlock()
	g.wait.Go(func() { g.watch(e, proc) })
	return nil
}

// memoryInterval is the time between two readings of a process's memory.
const memoryInterval = 200 * time.Millisecond

// watch records the memory of a process, and its end, and starts it again.
func (g *rig) watch(e *entry, proc *osproc.Process) {
	tick := time.NewTicker(memoryInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			peak := proc.PeakMemory()
			e.state.Lock()
			e.boot.Peak = max(e.boot.Peak, peak)
			e.state.Unlock()
			continue
		case <-proc.Done():
		}
		break
	}
	e.state.Lock()
	e.up = false
	e.boot.To = g.now()
	if err := proc.Wait(context.Background()); err != nil {
		e.boot.Err = err.Error()
	}
	b := e.boot
	e.state.Unlock()
	g.recorder.boot(b)
	// The platform starts a process that has ended again.
	pause := clock.Millis(newRand(uint64(b.From), uint64(b.Entry)).Int64N(int64(maxDown)))
	if sleep(g.running, pause) != nil {
		return
	}
	if err := g.launch(e); err != nil {
		// The checks report the entry that is missing.
		g.recorder.boot(Boot{Entry: e.n, From: g.now(), To: g.now(), Err: err.Error()})
	}
}

// maxDown is the longest time between the end of a process and the next start.
const maxDown = 1 * clock.Second

// startTimeout bounds the start of an entry.
const startTimeout = 30 * time.Second

// awaitReady waits until an entry says that it is ready.
func (g *rig) awaitReady(ctx context.Context, e *entry) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !extsim.IsReady(ctx, e.settings.Fleet.Readiness) {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "soak: %s isn't ready", e.name)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// wakeCallers makes the callers send their next requests at once.
func (g *rig) wakeCallers() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.burst)
	g.burst = make(chan struct{})
}

// nextBurst returns a channel that is closed when callers shall send at once.
func (g *rig) nextBurst() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.burst
}
