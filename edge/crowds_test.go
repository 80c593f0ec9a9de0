//go:build hostile

package edge_test

import (
	"context"
	"encoding/binary"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/osproc"
	"lacewinghook.example/lacewinghook/trial"
	"lacewinghook.example/lacewinghook/wire"
)

// Requests to the listeners beside that of callers.
const (
	directoryHead = "GET /resolve?name=h.example&region=r&zone=moose-jaw HTTP/1.1\r\nHost: h.example\r\n"
	readinessHead = "GET /readyz HTTP/1.1\r\nHost: h.example\r\n"
	metricsHead   = "GET /metrics HTTP/1.1\r\nHost: h.example\r\n"
	chunkedHead   = "POST /good/1 HTTP/1.1\r\nHost: h.example\r\nLacewinghook-Request-Id: hostile\r\nLacewinghook-Deadline-Ms: 9000\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// peerCrowds returns crowds for the peers' listener.
func peerCrowds() map[string][]trial.Crowd {
	message := string(binary.AppendUvarint(nil, 64<<10)) + strings.Repeat(" ", 63<<10)
	return map[string][]trial.Crowd{
		"idle connections":   {{Callers: 2500}},
		"messages not ended": {{Callers: 900, Head: message}},
		"one byte":           {{Callers: 2500, Head: "x"}},
	}
}

// TestHostileListeners guards against a process that ends, exceeds the memory or the
// descriptors of its machine, or answers no ordinary request any more, because of what
// clients send to any of its listeners.
func TestHostileListeners(t *testing.T) {
	dir := t.TempDir()
	is.New(t).NoErr(osproc.Build(context.Background(), dir))
	// Each case has the crowds by the address of the listener that gets them.
	cases := map[string]func(e *runningEntry) map[string][]trial.Crowd{}
	for name, crowds := range trial.ListenerCrowds(directoryHead) {
		cases["directory/"+name] = func(e *runningEntry) map[string][]trial.Crowd {
			return map[string][]trial.Crowd{e.settings.Fleet.Directory: crowds}
		}
	}
	for name, crowds := range peerCrowds() {
		cases["peers/"+name] = func(e *runningEntry) map[string][]trial.Crowd {
			return map[string][]trial.Crowd{e.settings.Peers.Listen: crowds}
		}
	}
	for _, name := range []string{"all of these", "idle connections"} {
		cases["readiness/"+name] = func(e *runningEntry) map[string][]trial.Crowd {
			return map[string][]trial.Crowd{e.settings.Fleet.Readiness: trial.ListenerCrowds(readinessHead)[name]}
		}
		cases["metrics/"+name] = func(e *runningEntry) map[string][]trial.Crowd {
			return map[string][]trial.Crowd{e.settings.Fleet.Metrics: trial.ListenerCrowds(metricsHead)[name]}
		}
	}
	cases["callers/bodies of one-byte chunks"] = func(e *runningEntry) map[string][]trial.Crowd {
		part := strings.Repeat("1\r\nx\r\n", 100)
		return map[string][]trial.Crowd{e.settings.Callers.Listen: {{Callers: 200, Head: chunkedHead, Part: func(int) string { return part }, Endless: true}}}
	}
	cases["all listeners"] = func(e *runningEntry) map[string][]trial.Crowd {
		return map[string][]trial.Crowd{
			e.settings.Callers.Listen:  trial.Crowds(hostileHead)["all of these"],
			e.settings.Fleet.Directory: trial.ListenerCrowds(directoryHead)["all of these"],
			e.settings.Fleet.Readiness: trial.ListenerCrowds(readinessHead)["all of these"],
			e.settings.Fleet.Metrics:   trial.ListenerCrowds(metricsHead)["all of these"],
			e.settings.Peers.Listen:    peerCrowds()["messages not ended"],
		}
	}
	cases["all listeners, idle"] = func(e *runningEntry) map[string][]trial.Crowd {
		idle := []trial.Crowd{{Callers: 1200}}
		crowds := map[string][]trial.Crowd{}
		for _, addr := range e.listeners() {
			crowds[addr] = idle
		}
		return crowds
	}
	for name, crowds := range cases {
		t.Run(name, func(t *testing.T) {
			s, e, proc := startHostile(t, dir)
			before := proc.PeakMemory()
			ctx, cancel := context.WithTimeout(context.Background(), hostileTime)
			defer cancel()
			opened, files := proc.RunCrowds(ctx, crowds(e))
			s.checkOrdinary(e)
			s.checkHostile(e, proc, before, files, opened)
		})
	}
}

// listeners returns the addresses of all listeners.
func (r *runningEntry) listeners() []string {
	f := r.settings.Fleet
	return []string{r.settings.Callers.Listen, f.Directory, f.Readiness, f.Metrics, r.settings.Peers.Listen}
}

// checkOrdinary checks that each listener answers one ordinary request. A connection that
// fails is tried again, an answer counts.
func (s *site) checkOrdinary(e *runningEntry) {
	s.t.Helper()
	is := is.New(s.t)
	var got answer
	s.until("a caller gets an answer", func() bool {
		got = e.do(context.Background(), callerRequest{id: "after", path: "/good/1", body: "short"})
		return got.err == nil
	})
	is.Equal(got.status, http.StatusOK)
	for _, url := range []string{
		"http://" + e.settings.Fleet.Directory + "/resolve?name=h.example&region=r&zone=moose-jaw",
		"http://" + e.settings.Fleet.Readiness + "/readyz", "http://" + e.settings.Fleet.Metrics + "/metrics",
	} {
		status := 0
		s.until("an answer of "+url, func() bool {
			resp, err := e.client.Get(url)
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			status = resp.StatusCode
			return true
		})
		is.Equal(status, http.StatusOK)
	}
	s.until("a peer gets an answer", func() bool { return askPeer(e) == nil })
}

// askPeer sends a request to the entry as a peer that has no connection yet.
func askPeer(e *runningEntry) error {
	c := wire.Client{}
	defer c.Close()
	_, err := c.Snapshot(context.Background(), e.settings.Peers.Listen, wire.SnapshotRequest{})
	return err
}

// TestOrdinaryAmongIdle guards against clients and peers that get no answer while others
// hold as many connections as a listener admits.
func TestOrdinaryAmongIdle(t *testing.T) {
	dir := t.TempDir()
	is.New(t).NoErr(osproc.Build(context.Background(), dir))
	s, e, _ := startHostile(t, dir)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	for _, addr := range e.listeners() {
		callers.Go(func() { trial.Crowd{Callers: 1200}.Run(ctx, addr) })
	}
	time.Sleep(hostileTime)
	s.checkOrdinary(e)
}
