package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/extsim"
)

// restartDelay is the time between the end of a process and its next start.
const restartDelay = time.Second

// Bounds of the users' sheet.
const (
	stableWindow = 3 * time.Second
	memoryMiB    = 134
	graceSeconds = 8
)

// host is the host name of all routes.
const host = "ficu95.example"

// bed is a platform with its entries and replicas.
type bed struct {
	program string
	dir     string
	trouble bool
	start   time.Time
	store   *extsim.Store
	entries []*entry

	closing  sync.Once
	mu       sync.Mutex
	record   *os.File
	replicas []*replica
	manifest int
	crashes  []time.Time
}

// crashed records the crash of a replica.
func (b *bed) crashed(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashes = append(b.crashes, at)
}

// crashTimes returns the times of the crashes of replicas, in order.
func (b *bed) crashTimes() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.SortedFunc(slices.Values(b.crashes), time.Time.Compare)
}

// entry is one entry and its current process.
type entry struct {
	name     string
	settings config.Settings
	file     string
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	// since is the start of the process.
	since time.Time
}

func newBed(program, record string, trouble bool) (*bed, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, errors.Wrap(err, "run the build of the deploy file first")
	}
	dir, err := os.MkdirTemp("", "bed")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	b := &bed{program: program, dir: dir, trouble: trouble, start: time.Now(), store: extsim.StartStore(), record: f}
	b.log("trouble: %v", trouble)
	return b, nil
}

// log writes a line to the record.
func (b *bed) log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f "+format+"\n", append([]any{time.Since(b.start).Seconds()}, args...)...)
}

// close ends all that was started. Further calls wait for the first one.
func (b *bed) close() { b.closing.Do(b.closeAll) }

func (b *bed) closeAll() {
	for _, e := range b.entries {
		e.signal(syscall.SIGKILL)
		e.mu.Lock()
		done := e.done
		e.mu.Unlock()
		if done != nil {
			<-done
		}
	}
	for _, r := range b.all() {
		r.crash()
	}
	b.store.Close()
	_ = os.RemoveAll(b.dir)
	_ = b.record.Close()
}

// all returns all replicas that were ever started.
func (b *bed) all() []*replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.replicas)
}

// sleepUntil waits until an instant after the start of the case.
func (b *bed) sleepUntil(at time.Duration) { time.Sleep(time.Until(b.start.Add(at))) }

// Ports of the entries lie below the ephemeral ones of the operating system.
const (
	firstPort = 13000
	lastPort  = 31000
)

// freeAddresses returns loopback addresses with free ports in a row, from a random one on.
func freeAddresses(n int) ([]string, error) {
	for range 100 {
		first := firstPort + rand.IntN(lastPort-firstPort-n)
		addrs := make([]string, 0, n)
		for i := range n {
			addr := fmt.Sprintf("127.0.0.1:%d", first+i)
			ln, err := net.Listen("tcp", addr)
			if err != nil {
				break
			}
			_ = ln.Close()
			addrs = append(addrs, addr)
		}
		if len(addrs) == n {
			return addrs, nil
		}
	}
	return nil, errors.New("no free ports")
}

// startEntries starts n entries together and waits until they are ready.
func (b *bed) startEntries(n int) error {
	const ports = 4
	addrs, err := freeAddresses(n * ports)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, addrs[i*ports+1])
	}
	for i := range n {
		a := addrs[i*ports:]
		name := fmt.Sprintf("edge-%d", i+1)
		e := &entry{name: name, file: filepath.Join(b.dir, name+".json"), settings: config.Settings{
			Instance: name, Centre: "moose-jaw", Callers: config.Listener{Listen: a[0]}, Peers: config.Listener{Listen: a[1]}, Seeds: seeds,
			Fleet: &config.Fleet{
				Store: b.store.Addr, Directory: a[2], Readiness: a[3], Memory: memoryMiB, Cores: 1, Grace: graceSeconds, Keep: 1000,
				Drain: 2000, Retries: config.Retries{Ratio: 0.2, Slack: 58, Span: 10}, Fresh: true,
			},
		}}
		b.entries = append(b.entries, e)
		if err := b.launch(e); err != nil {
			return err
		}
	}
	for _, e := range b.entries {
		if err := e.awaitReady(); err != nil {
			return err
		}
	}
	b.log("entries ready: %d", n)
	return nil
}

// launch starts the process of an entry.
func (b *bed) launch(e *entry) error {
	data, err := json.Marshal(e.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(e.file, data, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(b.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(b.program, "serve", "-config", e.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		err := cmd.Wait()
		b.log("%s: process ended: %v", e.name, err)
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	// Later starts belong to a system that runs already.
	e.settings.Fleet.Fresh = false
	e.cmd, e.done, e.since = cmd, done, time.Now()
	return nil
}

// signal sends a signal to the entry's process, if it runs.
func (e *entry) signal(s os.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return
	}
	select {
	case <-e.done:
	default:
		// The error means that the process has just ended.
		_ = e.cmd.Process.Signal(s)
	}
}

// restart stops an entry with SIGTERM, as in planned work, and starts it again.
func (b *bed) restart(e *entry) error {
	b.log("%s: SIGTERM", e.name)
	e.signal(syscall.SIGTERM)
	select {
	case <-e.done:
	case <-time.After(graceSeconds * time.Second):
		b.log("%s: SIGKILL after the grace period", e.name)
		e.signal(syscall.SIGKILL)
		<-e.done
	}
	time.Sleep(restartDelay)
	if err := b.launch(e); err != nil {
		return err
	}
	err := e.awaitReady()
	b.log("%s: ready again", e.name)
	return err
}

// inTouch reports whether the entry's process has run for the stable window.
func (e *entry) inTouch() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.done:
		return false
	default:
		return time.Since(e.since) > stableWindow
	}
}

// awaitReady waits until the entry says that it is ready.
func (e *entry) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for !extsim.IsReady(ctx, e.settings.Fleet.Readiness) {
		select {
		case <-e.done:
			return errors.Errorf("%s has ended", e.name)
		default:
		}
		if ctx.Err() != nil {
			return errors.Errorf("%s isn't ready", e.name)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// object is a JSON object.
type object = map[string]any

// route returns a route of the manifest.
func route(prefix, kind, service string, attempts int) object {
	r := object{
		"name": "r" + prefix, "host": host, "prefix": prefix, "route_kind": kind, "timeout_ms": 2000, "target_latency_ms": 300,
		"priority": 2, "service": service, "max_attempts": attempts, "sticky": kind == "streaming",
	}
	if kind == "streaming" {
		r["timeout_ms"], r["target_latency_ms"], r["priority"] = 14000, 900, 1
		r["resumable"], r["target_itl_ms"] = attempts > 1, 300
	}
	return r
}

// publish writes the next manifest. The services are those of the users' sheet.
func (b *bed) publish(routes ...object) {
	b.manifest += 3
	text, _ := json.Marshal(object{
		"version": b.manifest, "routes": routes,
		"services": []object{
			{"name": "writers", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "engine": object{
				"slots": 64, "kv_tokens": 39418, "kv_token_bytes": 327680, "link_mbps": 3400000.0, "migrations": true, "backups": true,
				"stride": 16, "most": 12, "kv_hold_s": 0.5, "switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []object{{"name": "m"}},
			}},
			{"name": "desk", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	b.store.Put("op", "config", string(text))
	b.log("manifest %d acknowledged, %d routes", b.manifest, len(routes))
}
