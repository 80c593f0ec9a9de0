package osproc

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/trial"
)

// Cluster is a simulated platform, engines, a service and entries, each in a
// process of its own on loopback.
type Cluster struct {
	// Dir holds the programs, the settings and the logs.
	Dir string
	// BasePort is the first port of the cluster's range.
	BasePort   int
	Entries    []*Process
	simulators []*Process   // the platform, the engines and the service
	portGuard  net.Listener // on the guard port; reserves the range
}

// Process is one running process.
type Process struct {
	Name string
	// Addr is the address on which the process serves requests; for an entry,
	// those of callers.
	Addr string
	cmd  *exec.Cmd
	done chan struct{} // closed once the process has exited
	err  error         // from the exit; valid once done is closed
}

// Offsets of the first port of each role from the base port, as `lacefake files`
// assigns them.
const (
	prefillOffset   = 100
	decodeOffset    = 200
	serviceOffset   = 300
	entryOffset     = 400
	portsPerEntry   = 10
	portsPerCluster = 500
	// guardOffset is the offset of the guard port, on which the cluster listens
	// until it stops to reserve the range.
	guardOffset = portsPerCluster - 1
)

// startTimeout bounds the start of a cluster, which takes about a second, and
// several seconds on a busy machine.
const startTimeout = 30 * clock.Second

// Build builds the programs into dir. The flags are passed to go build.
func Build(ctx context.Context, dir string, flags ...string) error {
	args := append([]string{"build", "-o", dir + "/"}, flags...)
	cmd := exec.CommandContext(ctx, "go", append(args, "lacewinghook.example/lacewinghook/cmd/...")...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return errors.Wrapf(err, "osproc: build: %s", out)
	}
	return nil
}

// Start starts one prefill and one decode engine, a plain service, a platform
// and n entries from the programs that [Build] put into dir, and returns once
// every entry is ready. If setup is not nil, it changes each entry's settings.
func Start(ctx context.Context, dir string, n int, setup func(*config.Settings)) (*Cluster, error) {
	guard, base := reservePorts()
	c := &Cluster{Dir: dir, BasePort: base, portGuard: guard}
	err := c.start(ctx, n, setup)
	if err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// start writes the settings with `lacefake files`, starts all processes and
// waits until the entries are ready.
func (c *Cluster) start(ctx context.Context, n int, setup func(*config.Settings)) error {
	base := strconv.Itoa(c.BasePort)
	cmd := exec.CommandContext(ctx, c.programPath("lacefake"), "files", "-dir", c.Dir, "-base", base,
		"-entries", strconv.Itoa(n), "-prefills", "1", "-decodes", "1")
	if out, err := cmd.CombinedOutput(); err != nil {
		return errors.Wrapf(err, "osproc: settings: %s", out)
	}
	simulators := []struct {
		name   string
		offset int // of its port
		args   []string
	}{
		{"platform", 0, []string{"platform", "-config", c.path("platform.json")}},
		{"prefill-1", prefillOffset, []string{"engine", "-name", "prefill-1", "-role", "prefill", "-prefill", "100", "-listen", c.addr(prefillOffset)}},
		{"decode-1", decodeOffset, []string{"engine", "-name", "decode-1", "-role", "decode", "-step", "5", "-listen", c.addr(decodeOffset)}},
		{"service", serviceOffset, []string{"service", "-name", trial.Service + "-1", "-listen", c.addr(serviceOffset)}},
	}
	for _, s := range simulators {
		proc, err := c.startProcess(s.name, c.addr(s.offset), "lacefake", s.args...)
		if err != nil {
			return err
		}
		c.simulators = append(c.simulators, proc)
	}
	for i := range n {
		if err := c.startEntry(i, setup); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout.Duration())
	defer cancel()
	// The entries are ready without the engines and the service.
	for _, proc := range c.simulators {
		if err := c.awaitProcess(ctx, proc, func() bool { return isListening(ctx, proc.Addr) }); err != nil {
			return err
		}
	}
	for _, proc := range c.Entries {
		if err := c.awaitProcess(ctx, proc, func() bool { return trial.IsReady(ctx, proc.Addr) }); err != nil {
			return err
		}
	}
	return nil
}

// awaitProcess waits until ready returns true. It returns an error with the output of the
// process if that exits first, or once ctx is done.
func (c *Cluster) awaitProcess(ctx context.Context, proc *Process, ready func() bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-proc.done:
			cancel(errors.New("the process has exited"))
		case <-ctx.Done():
		}
	}()
	if trial.WaitUntil(ctx, ready) == nil {
		return nil
	}
	return errors.Wrapf(context.Cause(ctx), "osproc: %s isn't ready: %s", proc.Name, c.Log(proc.Name))
}

// isListening reports whether a process accepts connections on the address.
func isListening(ctx context.Context, addr string) bool {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// startEntry starts the i-th entry. If setup is not nil, it changes the entry's
// settings file first.
func (c *Cluster) startEntry(i int, setup func(*config.Settings)) error {
	name := fmt.Sprintf("%s-%d", trial.Centre, i+1)
	file := c.path(name + ".json")
	if setup != nil {
		if err := editSettings(file, setup); err != nil {
			return err
		}
	}
	proc, err := c.startProcess(name, c.addr(entryOffset+i*portsPerEntry), "lacewinghook", "serve", "-config", file)
	if err == nil {
		c.Entries = append(c.Entries, proc)
	}
	return err
}

// editSettings applies setup to the settings in a JSON file.
func editSettings(file string, setup func(*config.Settings)) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var s config.Settings
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	setup(&s)
	if data, err = json.Marshal(s); err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o600)
}

// startProcess starts a program with its output in Dir/name.log. addr is the
// address on which it will listen.
func (c *Cluster) startProcess(name, addr, program string, args ...string) (*Process, error) {
	return Launch(name, addr, c.path(name+".log"), c.programPath(program), args...)
}

// Launch starts a program and appends its output to the file log. addr is the
// address on which it will listen.
func Launch(name, addr, logFile, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrapf(err, "osproc: %s", name)
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "osproc: %s", name)
	}
	proc := &Process{Name: name, Addr: addr, cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(proc.done)
		proc.err = cmd.Wait()
	}()
	return proc, nil
}

// programPath returns the path of a program.
func (c *Cluster) programPath(name string) string { return filepath.Join(c.Dir, name) }

// path returns the path of a settings file or log.
func (c *Cluster) path(name string) string { return filepath.Join(c.Dir, name) }

// addr returns the loopback address at an offset from the base port.
func (c *Cluster) addr(offset int) string { return fmt.Sprintf("127.0.0.1:%d", c.BasePort+offset) }

// PlatformURL returns the platform's base URL.
func (c *Cluster) PlatformURL() string { return "http://" + c.addr(0) }

// AdminAddr returns the address of the i-th entry's operators' listener.
func (c *Cluster) AdminAddr(i int) string { return c.addr(entryOffset + i*portsPerEntry + 1) }

// Simulator returns the simulator process of this name, which is that of the
// platform, an engine or the service. It returns nil if the name is unknown.
func (c *Cluster) Simulator(name string) *Process {
	for _, proc := range c.simulators {
		if proc.Name == name {
			return proc
		}
	}
	return nil
}

// DecodeAddr returns the address of the decode engine.
func (c *Cluster) DecodeAddr() string { return c.addr(decodeOffset) }

// Log returns the output of a process so far, or the text of the error if its log
// can't be read.
func (c *Cluster) Log(name string) string {
	data, err := os.ReadFile(c.path(name + ".log"))
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Client returns a client of the i-th entry.
func (c *Cluster) Client(i int) *trial.Client {
	return &trial.Client{Addr: c.Entries[i].Addr, Key: trial.CallerKey}
}

// DiscoveryClient returns a discovery client that starts with the i-th entry.
func (c *Cluster) DiscoveryClient(i int) *trial.DiscoveryClient {
	return trial.NewDiscoveryClient(c.Entries[i].Addr)
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// PeakMemory returns the largest resident memory of the process in bytes, zero if it has
// exited.
func (p *Process) PeakMemory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	var kib int64
	if _, err := fmt.Sscan(rest, &kib); err != nil {
		return 0
	}
	return kib << 10
}

// OpenFiles returns the number of open descriptors of the process, zero if it has exited.
func (p *Process) OpenFiles() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	if err != nil {
		return 0
	}
	return len(list)
}

// RunCrowds runs the crowds of each address until ctx ends. It returns how many connections
// they opened, and the largest number of open descriptors of the process.
func (p *Process) RunCrowds(ctx context.Context, crowds map[string][]trial.Crowd) (opened, files int) {
	var callers sync.WaitGroup
	var sum atomic.Int64
	for addr, list := range crowds {
		for _, crowd := range list {
			callers.Go(func() { sum.Add(int64(crowd.Run(ctx, addr))) })
		}
	}
	(clock.Clock{}).Every(ctx, filesInterval, func(context.Context) { files = max(files, p.OpenFiles()) })
	callers.Wait()
	return int(sum.Load()), files
}

// filesInterval is the time between two counts of the open descriptors.
const filesInterval clock.Millis = 20

// Done returns a channel that is closed once the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Signal sends a signal to the process. It returns an error if the process has exited.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Wait waits for the process to exit. It returns an error if the exit status
// isn't zero or ctx is done.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop kills all running processes, waits for them and releases the port range.
func (c *Cluster) Stop() {
	for _, proc := range append(c.Entries, c.simulators...) {
		// SIGKILL also ends a process that SIGSTOP has suspended.
		_ = proc.cmd.Process.Kill()
		<-proc.done
	}
	_ = c.portGuard.Close()
}

// Base ports lie between these two, below the ephemeral ports of the operating
// system.
const (
	minBasePort = 12000
	maxBasePort = 31000
)

// reservePorts returns the base port of a free range and a listener on its guard
// port. While that listener is open, other clusters in this process and in others
// don't use the range, even before the processes of this cluster listen.
func reservePorts() (guard net.Listener, base int) {
	offset := os.Getpid() * portsPerCluster
	for {
		base := minBasePort + offset%(maxBasePort-minBasePort)
		guard, err := listen(base + guardOffset)
		if err == nil {
			if rangeIsFree(base) {
				return guard, base
			}
			_ = guard.Close()
		}
		offset += portsPerCluster
	}
}

// listen listens on a loopback port.
func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}

// rangeIsFree reports whether all ports from base on that a cluster uses are
// free, apart from the guard port.
func rangeIsFree(base int) bool {
	offsets := []int{0, prefillOffset, decodeOffset, serviceOffset}
	for offset := entryOffset; offset < portsPerCluster; offset += portsPerEntry {
		// An entry uses three ports: for callers, operators and peers.
		offsets = append(offsets, offset, offset+1, offset+2)
	}
	for _, offset := range offsets {
		ln, err := listen(base + offset)
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}
