package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/extsim"
	"lacewinghook.example/lacewinghook/osproc"
)

// The figures of the sheet of aspencoulee-verse.
const (
	entries      = 9
	grace        = 8
	keep         = 1 * clock.Second
	drain        = 2 * clock.Second
	stable       = 3 * time.Second
	memoryMiB    = 134
	heartbeat    = 1200 * time.Millisecond
	startTimeout = 20 * time.Second
)

// Names of the deployment.
const (
	host     = "verse.example"
	verse    = "verse-writers"
	desk     = "card-desk"
	resumed  = "/birthday/"
	once     = "/harvest/"
	orders   = "/card-order/"
	lookups  = "/order-lookup/"
	deadline = 14 * time.Second
)

// rig is a small deployment on loopback: the store, the replicas and the entries.
type rig struct {
	dir, program string
	start        time.Time
	store        *extsim.Store
	entries      []*entry

	mu       sync.Mutex
	record   *os.File
	replicas []*replica // all that ever ran
	born     int64
	ended    chan struct{}
	wait     sync.WaitGroup
}

// entry is an entry's process.
type entry struct {
	name     string
	settings config.Settings
	proc     *osproc.Process
}

// replica is a stand-in and its registration.
type replica struct {
	sim  *extsim.Replica
	born int64
	kind kind
	// endedAt is the instant at which it crashed, zero while it runs.
	endedAt time.Time
}

// kind describes the replicas of one sort.
type kind struct {
	service, phase string
	// setUp, if not nil, changes the stand-in before it is registered.
	setUp func(*extsim.Replica)
}

// newRig starts the store. The record goes to the file record.txt in out.
func newRig(program, out string) (*rig, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Wrap(err, "rig")
	}
	record, err := os.Create(filepath.Join(out, "record.txt"))
	if err != nil {
		return nil, errors.Wrap(err, "rig")
	}
	return &rig{
		dir: dir, program: program, start: time.Now(), store: extsim.StartStore(), record: record,
		born: time.Now().UnixMilli(), ended: make(chan struct{}),
	}, nil
}

// note writes a line with the time since the start to the record.
func (g *rig) note(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fmt.Fprintf(g.record, "%8.3f %s\n", time.Since(g.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and stand-ins.
func (g *rig) close() {
	close(g.ended)
	for _, e := range g.entries {
		if e.proc != nil {
			// An error means that the process has exited.
			_ = e.proc.Signal(syscall.SIGKILL)
			<-e.proc.Done()
		}
	}
	g.wait.Wait()
	for _, r := range g.replicas {
		r.sim.Stop()
	}
	g.store.Close()
	_ = g.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(g.dir)
	}
}

// publish writes the manifest.
func (g *rig) publish() {
	g.store.Put(extsim.OperatorTable, extsim.ManifestKey, extsim.Manifest{
		Version: 3, Engines: []string{verse}, Services: []string{desk},
		Routes: []extsim.Route{
			{Host: host, Prefix: resumed, Service: verse, Kind: "streaming", Timeout: deadline, Attempts: 2, Resumable: true},
			{Host: host, Prefix: once, Service: verse, Kind: "streaming", Timeout: deadline, Attempts: 1},
			{Host: host, Prefix: orders, Service: desk, Kind: "non_idempotent", Timeout: 2 * time.Second, Attempts: 1},
			{Host: host, Prefix: lookups, Service: desk, Kind: "idempotent", Timeout: 2 * time.Second, Attempts: 2},
		},
	}.Text())
}

// addReplica starts and registers a replica, which then writes its row at each heartbeat
// until it crashes. Its row is removed after three heartbeats of silence.
func (g *rig) addReplica(k kind) *replica {
	g.mu.Lock()
	n := len(g.replicas)
	g.born++
	r := &replica{kind: k, born: max(g.born, time.Now().UnixMilli())}
	r.sim = extsim.StartReplica(fmt.Sprintf("i-%04d", n), k.service, k.phase)
	r.sim.Tagged = true
	if k.setUp != nil {
		k.setUp(r.sim)
	}
	g.replicas = append(g.replicas, r)
	g.mu.Unlock()
	g.store.Put(extsim.ReplicaTable, r.sim.ID, r.sim.RowOf("ready", r.born))
	g.wait.Go(func() { g.beat(r) })
	return r
}

// back is how long a replica that crashed is away.
const back = 2 * time.Second

// beat writes the row of a replica and follows its crash: a replica of the same kind starts
// after back.
func (g *rig) beat(r *replica) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	poll := time.NewTicker(5 * time.Millisecond)
	defer poll.Stop()
	for !r.sim.Stopped() {
		select {
		case <-g.ended:
			return
		case <-tick.C:
			g.store.Put(extsim.ReplicaTable, r.sim.ID, r.sim.RowOf("ready", r.born))
		case <-poll.C:
		}
	}
	g.mu.Lock()
	r.endedAt = time.Now()
	g.mu.Unlock()
	g.note("replica %s of %s %s crashed", r.sim.ID, r.kind.service, r.kind.phase)
	if !g.sleep(back) {
		return
	}
	started := g.addReplica(r.kind)
	g.note("replica %s of %s %s started", started.sim.ID, r.kind.service, r.kind.phase)
	if g.sleep(3*heartbeat - back) {
		g.store.Remove(extsim.ReplicaTable, r.sim.ID)
	}
}

// sleep waits for d and returns false if the rig is closed meanwhile.
func (g *rig) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-g.ended:
		return false
	}
}

// running returns the replicas of a service and phase that run.
func (g *rig) running(service, phase string) []*replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []*replica
	for _, r := range g.replicas {
		if r.kind.service == service && r.kind.phase == phase && !r.sim.Stopped() {
			all = append(all, r)
		}
	}
	return all
}

// all returns the replicas that ever ran.
func (g *rig) all() []*replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*replica(nil), g.replicas...)
}

// addresses returns n addresses on a loopback address that no other program uses.
func addresses(n int) []string {
	const firstPort = 8140
	var addrs []string
	for i := range n {
		addrs = append(addrs, fmt.Sprintf("127.%d.%d.7:%d", 1+os.Getpid()>>8%250, os.Getpid()%250, firstPort+i))
	}
	return addrs
}

// launch starts the entries with the command of the deploy file and waits until all are
// ready.
func (g *rig) launch(ctx context.Context, n int) error {
	const ports = 5
	addrs := addresses(n * ports)
	for i := range n {
		a := addrs[i*ports:]
		g.entries = append(g.entries, &entry{name: "edge-" + strconv.Itoa(i), settings: config.Settings{
			Instance: "edge-" + strconv.Itoa(i), Centre: "moose-jaw",
			Callers: config.Listener{Listen: a[0]}, Peers: config.Listener{Listen: a[1]},
			Fleet: &config.Fleet{
				Store: g.store.Addr, Directory: a[2], Readiness: a[3], Metrics: a[4], Memory: memoryMiB, Cores: 1, Share: 0.4,
				Grace: grace, Keep: keep, Drain: drain, Retries: config.Retries{Ratio: 0.2, Slack: 58, Span: 10}, Fresh: true,
			},
		}})
	}
	for _, e := range g.entries {
		for _, peer := range g.entries[:min(3, n)] {
			e.settings.Seeds = append(e.settings.Seeds, peer.settings.Peers.Listen)
		}
		data, err := json.Marshal(e.settings)
		if err != nil {
			return errors.Wrap(err, "rig: settings")
		}
		file := filepath.Join(g.dir, e.name+".json")
		if err := os.WriteFile(file, data, 0o600); err != nil {
			return errors.Wrap(err, "rig: settings")
		}
		e.proc, err = osproc.Launch(e.name, e.settings.Callers.Listen, filepath.Join(g.dir, e.name+".log"), g.program, "serve", "-config", file)
		if err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range g.entries {
		for !extsim.IsReady(ctx, e.settings.Fleet.Readiness) {
			if ctx.Err() != nil {
				return errors.Wrapf(ctx.Err(), "rig: %s isn't ready", e.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// promptTokens is the length of the prompts, of which the first part has firstTokens.
const (
	promptTokens = 3000
	firstTokens  = 200
)

// prompt returns the value of the host header with the headers of a request to a model
// after it. parts has the parts between the first and the last one, of the given length in
// all, so that the lengths of the parts come to that of the prompt.
func prompt(id, parts string, tokens int) string {
	return fmt.Sprintf("%s\r\nLacewinghook-Model: m\r\nLacewinghook-Token-Counts: %d,70\r\nLacewinghook-Prefix-Hash: 5c1e07a2:%d,%s%s:%d",
		host, promptTokens, firstTokens, parts, id, promptTokens-firstTokens-tokens)
}

// ask sends one request on a connection of its own.
func (g *rig) ask(ctx context.Context, e *entry, c extsim.Call) extsim.Answer {
	if c.Host == "" {
		c.Host = host
	}
	conn, err := extsim.Dial(ctx, e.settings.Callers.Listen)
	if err != nil {
		return extsim.Answer{Err: err}
	}
	defer conn.Close()
	return conn.Ask(ctx, c)
}
