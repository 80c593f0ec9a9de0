package edge_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/extsim"
	"lacewinghook.example/lacewinghook/osproc"
)

// Sizes of the memory test: the limit of a process that the deploy file sets, and the
// largest body that its manifest allows.
const (
	processMemoryMiB = 134
	largestBody      = 4_000_000
)

// startProcess starts an entry as a process of its own, with the program in dir, and
// waits until it is ready.
func (s *site) startProcess(dir string) (*runningEntry, *osproc.Process) {
	s.t.Helper()
	return s.startProcessWith(dir, processMemoryMiB)
}

// startProcessWith is startProcess with a memory limit in MiB.
func (s *site) startProcessWith(dir string, memory int) (*runningEntry, *osproc.Process) {
	s.t.Helper()
	is := is.New(s.t)
	// No other program uses this loopback address.
	host := fmt.Sprintf("127.%d.%d.9", 1+os.Getpid()>>8%250, os.Getpid()%250)
	addr := func(port int) string { return fmt.Sprintf("%s:%d", host, 8140+port) }
	set := &config.Settings{
		Instance: "edge-1", Centre: "moose-jaw", Callers: config.Listener{Listen: addr(0)}, Peers: config.Listener{Listen: addr(1)},
		Fleet: &config.Fleet{
			Store: s.store.Addr, Directory: addr(2), Readiness: addr(3), Metrics: addr(4), Memory: memory, Cores: 1,
			Grace: 4, Keep: 500, Retries: s.retries, Fresh: true,
		},
	}
	data, err := json.Marshal(set)
	is.NoErr(err)
	file := filepath.Join(dir, "edge.json")
	is.NoErr(os.WriteFile(file, data, 0o600))
	p, err := osproc.Launch("edge-1", addr(0), filepath.Join(dir, "edge.log"), filepath.Join(dir, "lacewinghook"), "serve", "-config", file)
	is.NoErr(err)
	r := &runningEntry{settings: set, client: &http.Client{Transport: &http.Transport{}}}
	s.t.Cleanup(func() {
		r.client.CloseIdleConnections()
		// The error means that the process has ended, which is checked.
		_ = p.Signal(syscall.SIGKILL)
		<-p.Done()
	})
	s.until("the process is ready", r.ready)
	return r, p
}

// pressure is what callers send at once beside sound traffic.
type pressure struct {
	// bodies counts the callers that send the largest body; chunked means that they
	// don't tell its length first. deaf counts those that never read their answer, and
	// streams those whose stream never ends.
	bodies, deaf, streams int
	chunked               bool
}

// outcomes are the answers to callers with the largest body.
type outcomes struct {
	served, refused atomic.Int64
}

// sendBody sends the largest body and checks the answer: it is whole, or a true refusal.
func (s *site) sendBody(r *runningEntry, id string, chunked bool, o *outcomes) {
	body := strings.Repeat(id, largestBody/len(id))
	var reader io.Reader = strings.NewReader(body)
	if chunked {
		reader = io.MultiReader(reader)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+r.settings.Callers.Listen+"/slow/1", reader)
	if err != nil {
		s.t.Error(err)
		return
	}
	req.Host = "h.example"
	req.Header.Set("Lacewinghook-Request-Id", id)
	resp, err := r.client.Do(req)
	if err != nil {
		s.t.Errorf("a large body: %v", err)
		return
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	switch {
	case err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("Seen-Body") == extsim.BodyDigest(body):
		o.served.Add(1)
	case err == nil && resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "":
		o.refused.Add(1)
		if n := s.runs(id); n != 0 {
			s.t.Errorf("a request that was refused as not run has run %d times", n)
		}
	default:
		s.t.Errorf("a large body: status %d, %v", resp.StatusCode, err)
	}
}

// sendDeaf sends a request for a long answer and reads none of it.
func (s *site) sendDeaf(r *runningEntry, id string, until <-chan struct{}) {
	c, err := net.Dial("tcp", r.settings.Callers.Listen)
	if err != nil {
		s.t.Error(err)
		return
	}
	defer c.Close()
	w := bufio.NewWriter(c)
	fmt.Fprintf(w, "POST /big/1 HTTP/1.1\r\nHost: h.example\r\nLacewinghook-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	if err := w.Flush(); err != nil {
		s.t.Error(err)
	}
	<-until
}

// TestMemoryOfProcess guards against a process that exceeds the memory of its machine, or
// fails sound traffic, because of what callers and replicas send at the same time.
func TestMemoryOfProcess(t *testing.T) {
	dir := t.TempDir()
	is.New(t).NoErr(osproc.Build(context.Background(), dir))
	for name, p := range map[string]pressure{
		"bodies":                        {bodies: 30},
		"bodies of unknown length":      {bodies: 30, chunked: true},
		"bodies, streams, deaf callers": {bodies: 30, deaf: 200, streams: 300},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t)
			manifest := fmt.Sprintf(manifestText, 2, 10000, goodRoute+`,{"name":"big","host":"h.example","prefix":"/big/","route_kind":"idempotent","timeout_ms":9000,"target_latency_ms":300,"priority":2,"service":"big","max_attempts":2}`)
			s.store.Put("op", "config", strings.Replace(manifest, `"max_body_bytes":100000`, fmt.Sprintf(`"max_body_bytes":%d`, largestBody), 1))
			s.replica("good", "good", "")
			s.replica("big", "big", "").Body = strings.Repeat("x", 1<<20)
			for _, r := range s.services {
				r.Work = func(string) time.Duration { return time.Second }
			}
			for i := range 6 {
				s.decode = append(s.decode, s.replica(fmt.Sprintf("more-%d", i), "verse", "decode"))
			}
			var script extsim.Script
			answers := make([]extsim.RawAnswer, 10*p.streams)
			for i := range answers {
				answers[i] = endlessAnswer(slowEvent)
			}
			script.Set(answers...)
			for _, r := range s.decode {
				r.SetScript(&script)
			}
			e, proc := s.startProcess(dir)
			before := proc.PeakMemory()

			var o, after outcomes
			var heavy, sound, deaf sync.WaitGroup
			over, end := context.WithCancel(context.Background())
			for i := range p.deaf {
				deaf.Go(func() { s.sendDeaf(e, fmt.Sprintf("d%07x", i), over.Done()) })
			}
			for i := range p.streams {
				heavy.Go(func() { _, _, _ = e.discard(over, fmt.Sprintf("e%07x", i), "/long/far/1") })
			}
			for i := range p.bodies {
				heavy.Go(func() {
					for round := range 3 {
						s.sendBody(e, fmt.Sprintf("b%06x%d", i, round), p.chunked, &o)
					}
				})
			}
			var took []time.Duration
			sound.Go(func() {
				for i := 0; over.Err() == nil; i++ {
					got := e.do(context.Background(), callerRequest{id: fmt.Sprintf("s%07x", i), path: "/good/1", body: "short"})
					if got.err != nil || got.status != http.StatusOK {
						t.Errorf("sound traffic: status %d, %v", got.status, got.err)
					}
					took = append(took, got.took)
				}
			})
			heavy.Wait()
			end()
			sound.Wait()
			deaf.Wait()
			// What was held for them is free again.
			s.until("the largest body passes", func() bool { s.sendBody(e, "last0001", p.chunked, &after); return after.served.Load() > 0 })
			peak := proc.PeakMemory()
			slices.Sort(took)
			p95 := took[len(took)*95/100]
			t.Logf("memory %d MiB, %d MiB before; %d large bodies served, %d refused; %d sound calls, 95%% within %d ms",
				peak>>20, before>>20, o.served.Load(), o.refused.Load(), len(took), p95.Milliseconds())
			is.True(peak > 0) // the process runs
			is.True(peak < processMemoryMiB<<20)
			is.True(p95 < 300*time.Millisecond) // the target latency of the route
			is.True(o.served.Load() > 0)
		})
	}
}
