//go:build hostile

package entry_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/cert"
	"lacewinghook.example/lacewinghook/client"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/osproc"
	"lacewinghook.example/lacewinghook/trial"
	"lacewinghook.example/lacewinghook/wire"
)

// operatorHead starts a request to the operators' listener.
const operatorHead = "GET /metrics HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer x\r\n"

// target is an entry as a process, with or without TLS on all of its listeners.
type target struct {
	cluster  *osproc.Cluster
	process  *osproc.Process
	settings config.Settings
	http     *http.Client
	peers    *cert.Source
	scheme   string
}

// startTarget starts an entry.
func startTarget(t *testing.T, dir string, secure bool) *target {
	is := is.New(t)
	cluster, err := osproc.Start(t.Context(), dir, 1, func(s *config.Settings) { s.Limits.Held = heldBytes })
	is.NoErr(err)
	t.Cleanup(cluster.Stop)
	e := &target{cluster: cluster, process: cluster.Entries[0], http: &http.Client{Transport: &http.Transport{}}, scheme: "http://"}
	data, err := os.ReadFile(filepath.Join(dir, e.process.Name+".json"))
	is.NoErr(err)
	is.NoErr(json.Unmarshal(data, &e.settings))
	if secure {
		e.startSecure(t, dir)
	}
	return e
}

// startSecure starts an entry with TLS beside that of the cluster.
func (e *target) startSecure(t *testing.T, dir string) {
	is := is.New(t)
	// No other entry of the cluster uses these ports.
	addr := func(offset int) string { return "127.0.0.1:" + strconv.Itoa(e.cluster.BasePort+450+offset) }
	ca := newAuthority(t)
	s := &e.settings
	s.Instance = "moose-jaw-9"
	for i, l := range []*config.Listener{&s.Callers, &s.Operators, &s.Peers} {
		*l = ca.listener(t, s.Instance)
		l.Listen = addr(i)
	}
	e.peers = &cert.Source{CertFile: s.Peers.Cert, KeyFile: s.Peers.Key, CAFile: s.Peers.CA}
	var err error
	e.http, err = client.Trusting(s.Callers.CA)
	is.NoErr(err)
	s.Callers.CA, s.Operators.CA = "", ""
	e.scheme = "https://"
	data, err := json.Marshal(s)
	is.NoErr(err)
	file := filepath.Join(dir, "secure.json")
	is.NoErr(os.WriteFile(file, data, 0o600))
	e.process, err = osproc.Launch(s.Instance, s.Callers.Listen, filepath.Join(dir, "secure.log"), filepath.Join(dir, "lacewinghook"), "serve", "-config", file)
	is.NoErr(err)
	t.Cleanup(func() {
		// The error means that the process has ended, which is checked.
		_ = e.process.Signal(syscall.SIGKILL)
		<-e.process.Done()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	is.NoErr(trial.WaitUntil(ctx, func() bool { return e.ask(ctx, s.Callers.Listen, http.MethodGet, "/v1/readyz", "") == http.StatusOK }))
}

// ask sends a request and returns the status of the answer, zero if there is none.
func (e *target) ask(ctx context.Context, addr, method, path, token string) int {
	r, err := http.NewRequestWithContext(ctx, method, e.scheme+addr+path, bytes.NewReader([]byte("card")))
	if err != nil {
		return 0
	}
	r.Header = http.Header{"Authorization": {"Bearer " + token}, "Idempotency-Key": {"ordinary"}, "Deadline": {"1000"}}
	resp, err := e.http.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// checkOrdinary checks that each listener answers one ordinary request.
func (e *target) checkOrdinary(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	is.NoErr(trial.WaitUntil(ctx, func() bool {
		return e.ask(ctx, e.settings.Callers.Listen, http.MethodPost, "/v1/services/"+trial.Service+"/orders", trial.CallerKey) == http.StatusOK
	})) // a caller gets an answer
	is.NoErr(trial.WaitUntil(ctx, func() bool {
		return e.ask(ctx, e.settings.Operators.Listen, http.MethodGet, "/metrics", trial.OperatorToken) == http.StatusOK
	})) // an operator gets an answer
	is.NoErr(trial.WaitUntil(ctx, func() bool {
		c := wire.Client{Certs: e.peers}
		defer c.Close()
		_, err := c.Drains(ctx, e.settings.Peers.Listen)
		return err == nil
	})) // a peer gets an answer
}

// crowdsOf returns the crowds of each case by the address of the listener that gets them.
func (e *target) crowdsOf(secure bool) map[string]map[string][]trial.Crowd {
	if !secure {
		message := string(binary.AppendUvarint(nil, 64<<10)) + strings.Repeat(" ", 63<<10)
		return map[string]map[string][]trial.Crowd{
			"operators, all":   {e.settings.Operators.Listen: trial.ListenerCrowds(operatorHead)["all of these"]},
			"operators, idle":  {e.settings.Operators.Listen: {{Callers: 2500}}},
			"peers, messages":  {e.settings.Peers.Listen: {{Callers: 900, Head: message}}},
			"peers, idle":      {e.settings.Peers.Listen: {{Callers: 2500}}},
			"every listener":   {e.settings.Callers.Listen: trial.Crowds(hostileHead)["all of these"], e.settings.Operators.Listen: trial.ListenerCrowds(operatorHead)["all of these"], e.settings.Peers.Listen: {{Callers: 900, Head: message}}},
			"every one, idle":  {e.settings.Callers.Listen: {{Callers: 1200}}, e.settings.Operators.Listen: {{Callers: 1200}}, e.settings.Peers.Listen: {{Callers: 1200}}},
			"callers, chunked": {e.settings.Callers.Listen: {chunkedCrowd()}},
		}
	}
	cfg := &tls.Config{InsecureSkipVerify: true}
	heads := trial.Crowds(hostileHead)
	return map[string]map[string][]trial.Crowd{
		"callers, distinct lines without end": {e.settings.Callers.Listen: trial.WithTLS(heads["distinct lines without end"], cfg)},
		"callers, legal heads not ended":      {e.settings.Callers.Listen: trial.WithTLS(heads["legal heads not ended"], cfg)},
		"callers, legal heads in flight":      {e.settings.Callers.Listen: trial.WithTLS(heads["legal heads in flight"], cfg)},
		"callers, handshakes not ended":       {e.settings.Callers.Listen: {trial.HandshakeCrowd()}},
		"callers, records not ended":          {e.settings.Callers.Listen: {trial.RecordCrowd(cfg)}},
		"callers, idle":                       {e.settings.Callers.Listen: {{Callers: 2500}}},
		"operators, all":                      {e.settings.Operators.Listen: trial.WithTLS(trial.ListenerCrowds(operatorHead)["all of these"], cfg)},
		"operators, handshakes not ended":     {e.settings.Operators.Listen: {trial.HandshakeCrowd()}},
		"peers, handshakes not ended":         {e.settings.Peers.Listen: {trial.HandshakeCrowd()}},
		"peers, idle":                         {e.settings.Peers.Listen: {{Callers: 2500}}},
		"every listener, handshakes":          {e.settings.Callers.Listen: {trial.HandshakeCrowd()}, e.settings.Operators.Listen: {trial.HandshakeCrowd()}, e.settings.Peers.Listen: {trial.HandshakeCrowd()}},
	}
}

// chunkedCrowd returns a crowd that sends a body over the limit in chunks of one byte.
func chunkedCrowd() trial.Crowd {
	part := strings.Repeat("1\r\nx\r\n", 100)
	return trial.Crowd{
		Callers: 200, Part: func(int) string { return part }, Endless: true,
		Head: strings.Replace(hostileHead, "Content-Length: 10", "Transfer-Encoding: chunked", 1) + "\r\n",
	}
}

// TestHostileListeners guards against a process that ends, exceeds its memory or
// descriptors, or answers no ordinary request any more, because of what clients send to any
// of its listeners, with TLS or without.
func TestHostileListeners(t *testing.T) {
	dir := t.TempDir()
	is.New(t).NoErr(osproc.Build(t.Context(), dir))
	for kind, secure := range map[string]bool{"plain": false, "TLS": true} {
		for name := range (&target{}).crowdsOf(secure) {
			t.Run(kind+"/"+name, func(t *testing.T) {
				is := is.New(t)
				e := startTarget(t, dir, secure)
				before := e.process.PeakMemory()
				ctx, cancel := context.WithTimeout(t.Context(), hostileTime)
				defer cancel()
				_, files := e.process.RunCrowds(ctx, e.crowdsOf(secure)[name])
				e.checkOrdinary(t)
				peak := e.process.PeakMemory()
				t.Logf("memory %d MiB, %d MiB before; %d descriptors", peak>>20, before>>20, files)
				is.True(peak > 0) // the process runs
				is.True(peak < memoryFactor*heldBytes)
				is.True(files < memoryFactor*heldBytes/bytesPerDescriptor)
			})
		}
	}
}

// TestOrdinaryAmongIdle guards against clients and peers that get no answer while others
// hold as many connections as a listener admits.
func TestOrdinaryAmongIdle(t *testing.T) {
	dir := t.TempDir()
	is.New(t).NoErr(osproc.Build(t.Context(), dir))
	for kind, secure := range map[string]bool{"plain": false, "TLS": true} {
		t.Run(kind, func(t *testing.T) {
			e := startTarget(t, dir, secure)
			ctx, cancel := context.WithCancel(t.Context())
			var callers sync.WaitGroup
			defer callers.Wait()
			defer cancel()
			for _, addr := range []string{e.settings.Callers.Listen, e.settings.Operators.Listen, e.settings.Peers.Listen} {
				callers.Go(func() { trial.Crowd{Callers: 1200}.Run(ctx, addr) })
			}
			time.Sleep(hostileTime)
			e.checkOrdinary(t)
		})
	}
}
