package once_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/trial"
)

// processes are a platform, a plain service and two entries on loopback.
type processes struct {
	dir     string
	base    int
	entries [2]*exec.Cmd
}

// The ports above the base, as lacefake files lays them out.
const (
	servicePort = 300
	entryPort   = 400
	entryPorts  = 10
)

// freeBase finds a base whose ports nobody listens on.
func freeBase(t *testing.T) int {
	for base := 30000; base < 60000; base += 1000 {
		free := true
		for _, port := range []int{0, servicePort, entryPort, entryPort + 1, entryPort + 2, entryPort + 10, entryPort + 11, entryPort + 12} {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+port))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return base
		}
	}
	t.Fatal("no free ports")
	return 0
}

func startProcesses(t *testing.T) *processes {
	p := &processes{dir: t.TempDir(), base: freeBase(t)}
	build := exec.Command("go", "build", "-o", p.dir, "../cmd/lacewinghook", "../cmd/lacefake")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	fake := filepath.Join(p.dir, "lacefake")
	files := exec.Command(fake, "files", "-dir", p.dir, "-base", fmt.Sprint(p.base), "-entries", "2", "-prefills", "0", "-decodes", "0")
	if out, err := files.CombinedOutput(); err != nil {
		t.Fatalf("files: %v\n%s", err, out)
	}
	p.start(t, fake, "platform", "-config", filepath.Join(p.dir, "platform.json"))
	p.start(t, fake, "service", "-name", "card-desk-1", "-work", "400", "-listen", p.addr(servicePort))
	for i := range p.entries {
		settings := filepath.Join(p.dir, fmt.Sprintf("%s-%d.json", trial.Centre, i+1))
		p.entries[i] = p.start(t, filepath.Join(p.dir, "lacewinghook"), "serve", "-config", settings)
	}
	for i := range p.entries {
		until(t, func() bool { return p.client(i).Ready(context.Background()) == nil })
	}
	return p
}

func (p *processes) start(t *testing.T, name string, args ...string) *exec.Cmd {
	cmd := exec.Command(name, args...)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

func (p *processes) addr(port int) string { return fmt.Sprintf("127.0.0.1:%d", p.base+port) }

func (p *processes) client(i int) *trial.Client {
	return &trial.Client{Addr: p.addr(entryPort + i*entryPorts), Key: trial.Key}
}

// send sends an order that must run within a second.
func (p *processes) send(i int, key string) (status int, body string) {
	header := http.Header{"Idempotency-Key": {key}, "Deadline": {"1000"}}
	resp, err := p.client(i).Do(context.Background(), http.MethodPost, "/v1/services/"+trial.Service+"/orders", []byte("card"), header)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

func fetch(url string) string {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return ""
	}
	req.Header.Set("Authorization", "Bearer "+trial.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return string(data)
}

func (p *processes) ran(key string) bool {
	return strings.Contains(fetch("http://"+p.addr(servicePort)+"/fake/runs"), fmt.Sprintf("%q:1", key))
}

// slowInsert makes the platform hold the next commit of an order back.
func (p *processes) slowInsert(t *testing.T) {
	f := []byte(`{"kind":"slow","op":"commit","prefix":"once/","count":1,"delay":300}`)
	resp, err := http.Post("http://"+p.addr(0)+"/fake/faults", "application/json", bytes.NewReader(f))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// committing reports whether entry 1 has begun to commit an order's row.
func (p *processes) committing() bool {
	return strings.Contains(fetch("http://"+p.addr(entryPort+1)+"/metrics"), "lacewinghook_batch_commits_total 1")
}

// landed reports whether the table holds an order's row.
func (p *processes) landed() bool {
	resp, err := http.Post("http://"+p.addr(0)+"/v1/table/read", "application/json", strings.NewReader(`{"prefix":"once/"}`))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return bytes.Contains(data, []byte(`"once/`))
}

func TestPromiseProcesses(t *testing.T) {
	const (
		key      = "k"
		progress = `"name":"in_progress"`
		unknown  = `"name":"outcome_unknown"`
	)
	for _, c := range []struct {
		name string
		// claimed freezes or kills entry 1 when the row stands and the call
		// is not sent; else it is when the call runs.
		claimed bool
		kill    bool
		// end is what entry 2 answers at last.
		end string
		ran bool
	}{
		{name: "killed between insert and dispatch", claimed: true, kill: true, end: unknown},
		{name: "killed after dispatch", kill: true, end: unknown, ran: true},
		{name: "frozen between insert and dispatch", claimed: true, end: `"run":1`, ran: true},
		{name: "frozen after dispatch", end: `"run":1`, ran: true},
	} {
		t.Run("at most once/entry "+c.name, func(t *testing.T) {
			is := is.New(t)
			p := startProcesses(t)
			if c.claimed {
				p.slowInsert(t)
			}
			ended := make(chan string, 1)
			go func() {
				_, body := p.send(0, key)
				ended <- body
			}()
			until(t, func() bool { return c.claimed && p.committing() || p.ran(key) })
			signal := syscall.SIGSTOP
			if c.kill {
				signal = syscall.SIGKILL
			}
			is.NoErr(p.entries[0].Process.Signal(signal))
			until(t, p.landed)
			_, body := p.send(1, key)
			is.True(strings.Contains(body, progress)) // the row is open and young
			if !c.kill {
				// The order's second is over when the entry wakes.
				is.NoErr((clock.Clock{}).Sleep(context.Background(), clock.Second))
				is.NoErr(p.entries[0].Process.Signal(syscall.SIGCONT))
				first := <-ended
				is.True(c.claimed || !strings.Contains(first, string(codes.NotRun)))
			}
			until(t, func() bool {
				_, body = p.send(1, key)
				return !strings.Contains(body, progress)
			})
			if !strings.Contains(body, c.end) {
				t.Fatalf("entry 2 answers %s, want %s", body, c.end)
			}
			is.Equal(p.ran(key), c.ran)
		})
	}
}
