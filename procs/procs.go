package procs

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/trial"
)

// Set is a set of stand-ins and entries that run as separate processes on
// loopback.
type Set struct {
	// Dir holds the programs, the settings and the logs.
	Dir     string
	Base    int
	Entries []*Proc
	others  []*Proc
	guard   net.Listener
}

// Proc is one running process.
type Proc struct {
	Name string
	// Addr is where it answers callers, or other entries.
	Addr string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// The ranges of ports that lacefake files lays out above the base.
const (
	prefillPorts  = 100
	decodePorts   = 200
	servicePorts  = 300
	entryPorts    = 400
	portsPerEntry = 10
	portsInAll    = 500
	// guardPort is listened on for as long as a set uses its range.
	guardPort = portsInAll - 1
)

// startTime bounds the start of a set: it takes a second, and several on a busy
// machine.
const startTime = 30 * clock.Second

// Build builds the programs into dir. Extra flags go to the compiler.
func Build(ctx context.Context, dir string, flags ...string) error {
	args := append([]string{"build", "-o", dir + "/"}, flags...)
	cmd := exec.CommandContext(ctx, "go", append(args, "lacewinghook.example/lacewinghook/cmd/...")...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return errors.Wrapf(err, "procs: build: %s", out)
	}
	return nil
}

// Start starts one prefill and one decode engine, a plain service, a
// platform and n entries, from programs that stand in dir, and returns once
// every entry takes work. Setup, if not nil, changes each entry's settings.
func Start(ctx context.Context, dir string, n int, setup func(*config.Settings)) (*Set, error) {
	guard, base := reserve()
	p := &Set{Dir: dir, Base: base, guard: guard}
	err := p.start(ctx, n, setup)
	if err != nil {
		p.Stop()
		return nil, err
	}
	return p, nil
}

func (p *Set) start(ctx context.Context, n int, setup func(*config.Settings)) error {
	base := strconv.Itoa(p.Base)
	cmd := exec.CommandContext(ctx, p.program("lacefake"), "files", "-dir", p.Dir, "-base", base,
		"-entries", strconv.Itoa(n), "-prefills", "1", "-decodes", "1")
	if out, err := cmd.CombinedOutput(); err != nil {
		return errors.Wrapf(err, "procs: settings: %s", out)
	}
	fakes := []struct {
		name string
		port int
		args []string
	}{
		{"platform", 0, []string{"platform", "-config", p.file("platform.json")}},
		{"prefill-1", prefillPorts, []string{"engine", "-name", "prefill-1", "-role", "prefill", "-prefill", "100", "-listen", p.addr(prefillPorts)}},
		{"decode-1", decodePorts, []string{"engine", "-name", "decode-1", "-role", "decode", "-step", "5", "-listen", p.addr(decodePorts)}},
		{"service", servicePorts, []string{"service", "-name", trial.Service + "-1", "-listen", p.addr(servicePorts)}},
	}
	for _, f := range fakes {
		proc, err := p.run(f.name, p.addr(f.port), "lacefake", f.args...)
		if err != nil {
			return err
		}
		p.others = append(p.others, proc)
	}
	for i := range n {
		if err := p.startEntry(i, setup); err != nil {
			return err
		}
	}
	ctx, done := context.WithTimeout(ctx, startTime.Duration())
	defer done()
	for _, e := range p.Entries {
		if err := trial.Until(ctx, func() bool { return trial.IsReady(ctx, e.Addr) }); err != nil {
			return errors.Wrapf(err, "procs: %s", e.Name)
		}
	}
	return nil
}

func (p *Set) startEntry(i int, setup func(*config.Settings)) error {
	name := fmt.Sprintf("%s-%d", trial.Centre, i+1)
	file := p.file(name + ".json")
	if setup != nil {
		if err := editSettings(file, setup); err != nil {
			return err
		}
	}
	proc, err := p.run(name, p.addr(entryPorts+i*portsPerEntry), "lacewinghook", "serve", "-config", file)
	if err == nil {
		p.Entries = append(p.Entries, proc)
	}
	return err
}

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

func (p *Set) run(name, addr, program string, args ...string) (*Proc, error) {
	log, err := os.Create(p.file(name + ".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(p.program(program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	proc := &Proc{Name: name, Addr: addr, cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(proc.done)
		proc.err = cmd.Wait()
	}()
	return proc, nil
}

func (p *Set) program(name string) string { return filepath.Join(p.Dir, name) }
func (p *Set) file(name string) string    { return filepath.Join(p.Dir, name) }

// addr returns the address of a port above the base.
func (p *Set) addr(port int) string { return fmt.Sprintf("127.0.0.1:%d", p.Base+port) }

// Platform returns the platform's URL.
func (p *Set) Platform() string { return "http://" + p.addr(0) }

// Admin returns the operators' address of the i-th entry.
func (p *Set) Admin(i int) string { return p.addr(entryPorts + i*portsPerEntry + 1) }

// Other returns the stand-in of that name, or nil.
func (p *Set) Other(name string) *Proc {
	for _, proc := range p.others {
		if proc.Name == name {
			return proc
		}
	}
	return nil
}

// Decode returns the address of the decode engine.
func (p *Set) Decode() string { return p.addr(decodePorts) }

// Log returns what a process has logged.
func (p *Set) Log(name string) string {
	data, err := os.ReadFile(p.file(name + ".log"))
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Client returns a caller of the i-th entry.
func (p *Set) Client(i int) *trial.Client {
	return &trial.Client{Addr: p.Entries[i].Addr, Key: trial.Key}
}

// Follower returns a caller that begins with the i-th entry.
func (p *Set) Follower(i int) *trial.Follower {
	return trial.Follow(p.Entries[i].Addr)
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Wait waits for the process to end; an exit status other than zero is an
// error.
func (p *Proc) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop kills every process that still runs, and waits.
func (p *Set) Stop() {
	for _, proc := range append(p.Entries, p.others...) {
		// A process that is stopped by a signal can be killed all the same.
		_ = proc.cmd.Process.Kill()
		<-proc.done
	}
	_ = p.guard.Close()
}

// The ports that trial runs of processes may use lie below those that the
// system gives out by itself.
const (
	firstBase = 12000
	lastBase  = 31000
)

// reserve returns the first port of a range that nobody listens in, and the
// listener that keeps it from other sets, of this process and of others, also
// before the processes of this one listen.
func reserve() (guard net.Listener, base int) {
	at := os.Getpid() * portsInAll
	for {
		base := firstBase + at%(lastBase-firstBase)
		guard, err := listen(base + guardPort)
		if err == nil {
			if isFree(base) {
				return guard, base
			}
			_ = guard.Close()
		}
		at += portsInAll
	}
}

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}

func isFree(base int) bool {
	ports := []int{0, prefillPorts, decodePorts, servicePorts}
	for port := entryPorts; port < portsInAll; port += portsPerEntry {
		// An entry has a port for callers, operators and peers each.
		ports = append(ports, port, port+1, port+2)
	}
	for _, port := range ports {
		ln, err := listen(base + port)
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}
