package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/edge"
	"lacewinghook.example/lacewinghook/extsim"
)

// testTimeout bounds each wait for a condition.
const testTimeout = 10 * time.Second

// manifestText is a manifest with one route of each kind. Its arguments are
// the version, the timeout of the route "once" and further routes.
const manifestText = `{"version":%d,"routes":[
{"name":"once","host":"h.example","prefix":"/once/","route_kind":"non_idempotent","timeout_ms":%d,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1,"sticky":false},
{"name":"safe","host":"h.example","prefix":"/safe/","route_kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2,"sticky":false},
{"name":"deep","host":"h.example","prefix":"/safe/deep/","route_kind":"idempotent","timeout_ms":2000,"target_latency_ms":300.5,"priority":2,"split":[{"service":"nobody","weight":0},{"service":"desk","weight":10}],"max_attempts":2},
{"name":"verse","host":"h.example","prefix":"/verse/","route_kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"verse","max_attempts":1,"sticky":true,"resumable":false,"target_itl_ms":300},
{"name":"long","host":"h.example","prefix":"/long/","route_kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"verse","max_attempts":2,"sticky":true,"resumable":true,"target_itl_ms":300}
%s],
"services":[{"name":"verse","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_tokens":39418,"kv_token_bytes":327680,"link_mbps":3400000.0,"stride":16,"kv_hold_s":0.5,"switch_s":6.0,"hold_ms":2000.0,"models":[{"name":"m"}]}},{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// site is a simulated platform with replicas and entries.
type site struct {
	t        *testing.T
	store    *extsim.Store
	services []*extsim.Replica
	prefill  []*extsim.Replica
	decode   []*extsim.Replica
	entries  []*runningEntry
	// n is the number of entries started, from which their names are derived.
	n int
	// restarted is set if entries start on a platform that is already serving,
	// so that they aren't fresh.
	restarted bool
	// retries limits the retries of the entries that start next.
	retries config.Retries
	// wrapCallers, if not nil, replaces the callers' listener of the entries that start
	// next.
	wrapCallers func(net.Listener) net.Listener
	// wrapPeers does the same for the peers' listener.
	wrapPeers func(net.Listener) net.Listener
	// memory is the memory limit of the entries that start next, in MiB; zero means
	// none.
	memory int
	// log, if not nil, receives the logs of the entries.
	log *zap.Logger
}

// runningEntry is an entry that was started in this process.
type runningEntry struct {
	settings *config.Settings
	stop     context.CancelFunc
	done     chan error
	client   *http.Client
	logs     *observer.ObservedLogs
}

// newSite starts a store with a manifest and two replicas of each role.
func newSite(t *testing.T) *site {
	s := &site{t: t, store: extsim.NewStore(t), retries: config.Retries{Ratio: 0.2, Slack: 58, Span: 10}}
	s.publish(1, 1000, "")
	for i := range 2 {
		s.services = append(s.services, s.replica(fmt.Sprintf("d-%d", i), "desk", ""))
		s.prefill = append(s.prefill, s.replica(fmt.Sprintf("p-%d", i), "verse", "prefill"))
		s.decode = append(s.decode, s.replica(fmt.Sprintf("g-%d", i), "verse", "decode"))
	}
	return s
}

// publish stores a manifest with the given version, timeout and further
// routes.
func (s *site) publish(version, timeout int, more string) {
	s.store.Put("op", "config", fmt.Sprintf(manifestText, version, timeout, more))
}

// replica starts a replica and registers it as ready.
func (s *site) replica(id, service, phase string) *extsim.Replica {
	r := extsim.NewReplica(s.t, id, service, phase)
	s.store.Put("servers", id, r.Row("ready"))
	return r
}

// start starts an entry that has the given entries as seeds.
func (s *site) start(seeds ...*runningEntry) *runningEntry {
	s.t.Helper()
	s.n++
	var listeners []net.Listener
	port := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.t.Fatal(err)
		}
		listeners = append(listeners, ln)
		return ln.Addr().String()
	}
	set := &config.Settings{
		Instance: fmt.Sprintf("edge-%d", s.n), Centre: "moose-jaw",
		Callers: config.Listener{Listen: port()}, Peers: config.Listener{Listen: port()},
		Fleet: &config.Fleet{
			Store: s.store.Addr, Directory: port(), Readiness: port(), Metrics: port(),
			Grace: 4, Keep: 500, Retries: s.retries, Fresh: !s.restarted, Memory: s.memory,
		},
	}
	if s.wrapCallers != nil {
		listeners[0] = s.wrapCallers(listeners[0])
	}
	if s.wrapPeers != nil {
		listeners[1] = s.wrapPeers(listeners[1])
	}
	for _, r := range seeds {
		set.Seeds = append(set.Seeds, r.settings.Peers.Listen)
	}
	ctx, stop := context.WithCancel(context.Background())
	logCore, logs := observer.New(zap.InfoLevel)
	if s.log != nil {
		logCore = zapcore.NewTee(logCore, s.log.Core())
	}
	r := &runningEntry{settings: set, stop: stop, done: make(chan error, 1), client: &http.Client{Transport: &http.Transport{}}, logs: logs}
	go func() { r.done <- (&edge.Edge{Settings: set, Log: zap.New(logCore), Listeners: listeners}).Run(ctx) }()
	s.entries = append(s.entries, r)
	s.t.Cleanup(func() {
		stop()
		select {
		case <-r.done:
		case <-time.After(testTimeout):
			s.t.Error("the entry did not stop")
		}
		r.client.CloseIdleConnections()
	})
	return r
}

// startReady starts an entry and waits until it is ready.
func (s *site) startReady(seeds ...*runningEntry) *runningEntry {
	s.t.Helper()
	r := s.start(seeds...)
	s.until("the entry is ready", r.ready)
	return r
}

// until waits until f returns true, and fails the test after testTimeout.
func (s *site) until(what string, f func() bool) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

// ready reports whether the entry's readiness check succeeds.
func (r *runningEntry) ready() bool {
	resp, err := r.client.Get("http://" + r.settings.Fleet.Readiness + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// addresses looks up the entries' addresses as a caller does.
func (r *runningEntry) addresses() []string {
	resp, err := r.client.Get("http://" + r.settings.Fleet.Directory + "/resolve?name=h.example&region=r&zone=moose-jaw")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var got struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if json.NewDecoder(resp.Body).Decode(&got) != nil || got.TTL <= 0 {
		return nil
	}
	return got.Addresses
}

// callerRequest is a caller's request.
type callerRequest struct {
	id, method, path, body string
	header                 map[string]string
}

// answer is the response that the caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
	// head is the time to the head of the response.
	head time.Duration
	// closes is set if the response closes the connection.
	closes bool
}

// do sends a request to the entry as a caller does and reads the whole answer.
func (r *runningEntry) do(ctx context.Context, call callerRequest) answer {
	if call.method == "" {
		call.method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, call.method, "http://"+r.settings.Callers.Listen+call.path, strings.NewReader(call.body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "h.example"
	if call.id != "" {
		req.Header.Set("Lacewinghook-Request-Id", call.id)
	}
	req.Header.Set("Lacewinghook-Deadline-Ms", "4000")
	if strings.HasPrefix(call.path, "/verse/") || strings.HasPrefix(call.path, "/long/") {
		req.Header.Set("Lacewinghook-Model", "m")
		req.Header.Set("Lacewinghook-Token-Counts", "3000,2720")
		req.Header.Set("Lacewinghook-Prefix-Hash", "5c1e07a2:200,91bd3f06:2800")
	}
	for name, value := range call.header {
		req.Header.Set(name, value)
	}
	start := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		return answer{err: err, took: time.Since(start)}
	}
	defer resp.Body.Close()
	head := time.Since(start)
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err, took: time.Since(start), head: head, closes: resp.Close}
}

// runs returns how many times replicas have run the request.
func (s *site) runs(id string) int {
	n := 0
	for _, list := range [][]*extsim.Replica{s.services, s.decode} {
		for _, r := range list {
			n += r.RunCount(id)
		}
	}
	return n
}

// injectFault sets a fault for the next n requests of every replica in the list.
func injectFault(list []*extsim.Replica, f extsim.Fault, n int) {
	for _, r := range list {
		r.InjectFault(f, n)
	}
}

// streamBody returns the complete body of a stream of n tokens.
func streamBody(n int) string {
	text := ""
	for i := 1; i <= n; i++ {
		text += fmt.Sprintf("id: %d\ndata: token%d\n\n", i, i)
	}
	return text
}

// TestAnswers checks the response to a caller and the number of runs, with and
// without faults of the replicas.
func TestAnswers(t *testing.T) {
	ctx := context.Background()
	cases := map[string]struct {
		prepare func(s *site)
		request callerRequest
		status  int
		// body must be contained in the response body.
		body string
		// cut is set if the response must be truncated.
		cut  bool
		runs int
		// retryAfter is set if the response must have a Retry-After header.
		retryAfter bool
	}{
		"a call":                 {request: callerRequest{path: "/once/a?x=%2f", body: "b"}, status: 200, body: "answer of d-", runs: 1},
		"a call without a body":  {request: callerRequest{method: "GET", path: "/safe/a"}, status: 200, runs: 1},
		"the longest prefix":     {request: callerRequest{method: "GET", path: "/safe/deep/a"}, status: 200, runs: 1},
		"a stream":               {request: callerRequest{path: "/verse/a", body: "p"}, status: 200, body: streamBody(4), runs: 1},
		"no such route":          {request: callerRequest{path: "/none/a"}, status: 404},
		"no such host":           {request: callerRequest{path: "/", header: map[string]string{}}, status: 404},
		"an invalid token count": {request: callerRequest{path: "/verse/a", header: map[string]string{"Lacewinghook-Token-Counts": "x,1"}}, status: 400},
		"an invalid prefix hash": {request: callerRequest{path: "/verse/a", header: map[string]string{"Lacewinghook-Prefix-Hash": "zz:1"}}, status: 400},
		"an invalid deadline":    {request: callerRequest{path: "/once/a", header: map[string]string{"Lacewinghook-Deadline-Ms": "soon"}}, status: 400},
		"an oversized body":      {request: callerRequest{path: "/once/a", body: strings.Repeat("x", 100001)}, status: 413},
		"an expired deadline": {
			request: callerRequest{path: "/once/a", header: map[string]string{"Lacewinghook-Deadline-Ms": "0"}}, status: 503,
		},

		"once, the answer is lost": {
			prepare: func(s *site) { injectFault(s.services, extsim.LoseAnswer, 1) }, request: callerRequest{path: "/once/a"}, status: 502, runs: 1,
		},
		"once, the answer is truncated": {
			prepare: func(s *site) { injectFault(s.services, extsim.CutAnswer, 1) }, request: callerRequest{path: "/once/a"}, status: 502, runs: 1,
		},
		"once, the answer is invalid": {
			prepare: func(s *site) { injectFault(s.services, extsim.InvalidAnswer, 1) }, request: callerRequest{path: "/once/a"}, status: 502, runs: 1,
		},
		"once, the answer is unsigned": {
			prepare: func(s *site) { injectFault(s.services, extsim.Unsigned, 1) }, request: callerRequest{path: "/once/a"}, status: 502, runs: 1,
		},
		"once, the replica fails": {
			prepare: func(s *site) { injectFault(s.services, extsim.ServerError, 1) }, request: callerRequest{path: "/once/a"}, status: 500, body: "failed", runs: 1,
		},
		"once, one replica is full": {
			prepare: func(s *site) { s.services[0].InjectFault(extsim.Reject, 1) }, request: callerRequest{path: "/once/a"}, status: 200, runs: 1,
		},
		"once, all replicas are full": {
			prepare: func(s *site) { injectFault(s.services, extsim.Reject, 5) }, request: callerRequest{path: "/once/a"}, status: 503, retryAfter: true,
		},
		"once, one replica is down": {
			prepare: func(s *site) { s.services[0].Stop() }, request: callerRequest{path: "/once/a"}, status: 200, runs: 1,
		},
		"once, all replicas are down": {
			prepare: func(s *site) { s.services[0].Stop(); s.services[1].Stop() }, request: callerRequest{path: "/once/a"}, status: 503, retryAfter: true,
		},
		"once, the replica does not answer": {
			prepare: func(s *site) { injectFault(s.services, extsim.Hang, 1) }, request: callerRequest{path: "/once/a"}, status: 504, runs: 1,
		},
		"once, without a content length": {
			prepare: func(s *site) { injectFault(s.services, extsim.NoContentLength, 1) }, request: callerRequest{path: "/once/a"}, status: 200, body: "answer of d-", runs: 1,
		},
		"safe, the answer is lost": {
			prepare: func(s *site) {
				s.services[0].InjectFault(extsim.LoseAnswer, 1)
				s.services[1].InjectFault(extsim.LoseAnswer, 1)
			},
			request: callerRequest{method: "GET", path: "/safe/a"}, status: 502, runs: 2,
		},
		"safe, one replica does not answer": {
			prepare: func(s *site) { s.services[0].InjectFault(extsim.Hang, 1) }, request: callerRequest{method: "GET", path: "/safe/a"}, status: 200,
		},
		"safe, the first replica fails": {
			prepare: func(s *site) { s.services[0].InjectFault(extsim.ServerError, 1) }, request: callerRequest{method: "GET", path: "/safe/a"}, status: 200,
		},
		"safe, both replicas fail": {
			prepare: func(s *site) { injectFault(s.services, extsim.ServerError, 1) }, request: callerRequest{method: "GET", path: "/safe/a"}, status: 500, body: "failed", runs: 2,
		},

		"a truncated stream": {
			prepare: func(s *site) { injectFault(s.decode, extsim.CutAnswer, 1) }, request: callerRequest{path: "/verse/a"}, status: 200, cut: true, runs: 1,
		},
		"a truncated stream that is resumed": {
			prepare: func(s *site) {
				s.decode[0].InjectFault(extsim.CutAnswer, 1)
				s.decode[1].InjectFault(extsim.CutAnswer, 1)
			},
			request: callerRequest{path: "/long/a"}, status: 200, body: streamBody(4), runs: 2,
		},
		"a stream resumed by its caller": {
			request: callerRequest{path: "/long/a", header: map[string]string{"Last-Event-Id": "3"}}, status: 200, body: "id: 4\ndata: token4\n\n", runs: 1,
		},
		"a stream, all decode engines are full": {
			prepare: func(s *site) { injectFault(s.decode, extsim.Reject, 9) }, request: callerRequest{path: "/verse/a"}, status: 503, retryAfter: true,
		},
		"a stream without prefill engines": {
			prepare: func(s *site) { s.prefill[0].Stop(); s.prefill[1].Stop() }, request: callerRequest{path: "/verse/a"}, status: 200, body: streamBody(4), runs: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			r := s.startReady()
			if c.prepare != nil {
				c.prepare(s)
			}
			c.request.id = "id-1"
			if name == "no such host" {
				r.client = &http.Client{Transport: hostless{}}
			}
			got := r.do(ctx, c.request)
			if c.cut {
				is.True(got.err != nil || got.status == 0)
			} else {
				is.NoErr(got.err)
				is.Equal(got.status, c.status)
			}
			is.True(strings.Contains(got.body, c.body))
			if c.runs > 0 || c.status >= 400 && c.status != 500 {
				is.Equal(s.runs("id-1"), c.runs)
			}
			is.Equal(got.header.Get("Retry-After") != "", c.retryAfter)
			if got.status == 200 && !c.cut {
				is.Equal(got.header.Get("Lacewinghook-Replica-Signature"), "sig.id-1")
			}
			if c.request.path == "/once/a?x=%2f" {
				is.Equal(got.header.Get("Seen-Path"), c.request.path)
				is.Equal(got.header.Get("Seen-Body"), extsim.BodyDigest(c.request.body))
			}
		})
	}
}

// hostless sends requests with a Host that no route has.
type hostless struct{}

// RoundTrip implements [http.RoundTripper].
func (hostless) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Host = "other.example"
	return http.DefaultTransport.RoundTrip(r)
}

// TestRouterHeaders checks that headers set by the router aren't taken over from a
// caller's request, and that the caller's other headers are forwarded.
func TestRouterHeaders(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	r := s.startReady()
	got := r.do(context.Background(), callerRequest{id: "id-1", path: "/verse/a", header: map[string]string{
		"Lacewinghook-Kv-Source": "10.0.0.1:1/x", "Lacewinghook-Kv-Retain": "x", "Lacewinghook-Phase": "prefill",
		"Lacewinghook-Pin-Ms": "9", "Lacewinghook-Kv-Backup": "10.0.0.1:1", "Lacewinghook-Expect-Replica": "i-other",
		"Lacewinghook-Request-Priority": "0", "Connection": "X-Hop", "X-Hop": "1", "X-Kept": "1",
	}})
	is.Equal(got.status, 200)
	is.Equal(got.body, streamBody(4))
	for _, list := range [][]*extsim.Replica{s.prefill, s.decode} {
		for _, replica := range list {
			for _, h := range replica.RequestHeaders() {
				is.Equal(h.Get("Lacewinghook-Expect-Replica"), replica.ID)
				if h.Get("Lacewinghook-Request-Id") == "" {
					continue
				}
				for _, name := range []string{"Lacewinghook-Pin-Ms", "Lacewinghook-Kv-Backup", "Lacewinghook-Request-Priority", "X-Hop"} {
					is.Equal(h.Get(name), "")
				}
				is.True(h.Get("Lacewinghook-Kv-Source") != "10.0.0.1:1/x")
				is.True(h.Get("Lacewinghook-Kv-Retain") != "x")
				is.Equal(h.Get("X-Kept"), "1")
				is.Equal(h.Get("Lacewinghook-Prefix-Hash"), "5c1e07a2:200,91bd3f06:2800")
				var left int
				_, err := fmt.Sscan(h.Get("Lacewinghook-Deadline-Ms"), &left)
				is.NoErr(err)
				is.True(left > 0 && left <= 4000)
			}
		}
	}
}

// TestExtraAnswerIsDiscarded guards against a surplus answer on a connection that is
// used for the answer to the next request.
func TestExtraAnswerIsDiscarded(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	r := s.startReady()
	for i := range 20 {
		injectFault(s.services, extsim.DuplicateAnswer, 1)
		id := fmt.Sprintf("id-%d", i)
		got := r.do(context.Background(), callerRequest{id: id, path: "/once/a"})
		is.NoErr(got.err)
		is.Equal(got.status, 200)
		is.Equal(got.header.Get("Lacewinghook-Replica-Signature"), "sig."+id)
		is.Equal(s.runs(id), 1)
	}
}

// TestRepeatedRefusal guards against replicas that send an earlier refusal again, on a
// connection on which they run another request: the caller must not be told that its
// request hasn't run, and no other replica may run it.
func TestRepeatedRefusal(t *testing.T) {
	for _, path := range []string{"/once/a", "/verse/a"} {
		for _, anonymous := range []bool{false, true} {
			for _, delay := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s/anonymous %v/after %v", path[1:], anonymous, delay), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					s := newSite(t)
					replicas := s.services
					if path == "/verse/a" {
						replicas = s.decode
					}
					for _, d := range replicas {
						d.Anonymous, d.RepeatDelay = anonymous, delay
					}
					r := s.startReady()
					answered := 0
					for i := range 20 {
						injectFault(replicas, extsim.RepeatRefusal, 1)
						// One request is refused at each send, the next isn't refused, and the
						// third is refused once by each replica.
						injectFault(replicas, extsim.Reject, []int{3, 0, 1}[i%3])
						id := fmt.Sprint("id-", i)
						got := r.do(context.Background(), callerRequest{id: id, path: path})
						is.NoErr(got.err)
						runs := s.runs(id)
						is.True(runs <= 1)
						switch got.status {
						case http.StatusOK:
							answered++
							is.Equal(got.header.Get("Lacewinghook-Replica-Signature"), "sig."+id)
						case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
							is.Equal(runs, 0)
						default:
							is.True(anonymous) // otherwise the ID identifies the answer
						}
						is.True(got.status == http.StatusOK || i%3 != 1)
					}
					repeats := replicas[0].Counts().Repeats + replicas[1].Counts().Repeats
					t.Logf("%d of 20 answered with success, %d refusals repeated", answered, repeats)
					// No request follows an anonymous refusal on its connection.
					is.Equal(repeats > 0, !anonymous)
				})
			}
		}
	}
}

// TestAnswersBeforeTheBody guards against a desynchronized connection: the replicas
// answer long requests at once and read the body later. The connection must not be
// reused until the rest of the body is sent.
func TestAnswersBeforeTheBody(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	r := s.startReady()
	long := strings.Repeat("x", 90_000)
	injectFault(s.services, extsim.EarlyAnswer, 1<<20)
	for i := range 20 {
		id := fmt.Sprintf("id-%d", i)
		got := r.do(context.Background(), callerRequest{id: id, path: "/once/a", body: long})
		is.NoErr(got.err)
		is.Equal(got.status, 200)
		is.Equal(got.header.Get("Lacewinghook-Replica-Signature"), "sig."+id)
	}
	s.until("all bodies are read", func() bool { return s.services[0].Counts().Runs+s.services[1].Counts().Runs == 20 })
	injectFault(s.services, extsim.EarlyAnswer, 0)
	for i := range 20 {
		id := fmt.Sprintf("next-%d", i)
		got := r.do(context.Background(), callerRequest{id: id, path: "/once/a", body: long})
		is.Equal(got.status, 200)
		is.Equal(got.header.Get("Seen-Body"), extsim.BodyDigest(long))
		is.Equal(s.runs(id), 1)
	}
	is.Equal(s.services[0].Counts().CorruptBodies+s.services[1].Counts().CorruptBodies, 0)
}

// TestDeadKeepAliveConnections has the replicas close idle connections that the entry
// keeps. Calls that must not be repeated must still succeed, and run once.
func TestDeadKeepAliveConnections(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	r := s.startReady()
	for i := range 10 {
		id := fmt.Sprint("id-", i)
		got := r.do(context.Background(), callerRequest{id: id, path: "/once/a"})
		is.NoErr(got.err)
		is.Equal(got.status, 200)
		is.Equal(s.runs(id), 1)
		for _, d := range s.services {
			d.CloseConnections()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestAddressOfAnotherReplica puts a row in the list of replicas whose address is now
// used by another replica, as happens when the list lags. The replica at that address
// must refuse the request, and the entry must retry it at the right one.
func TestAddressOfAnotherReplica(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.store.Remove("servers", "d-0")
	s.store.Put("servers", "d-00", s.services[0].Row("ready"))
	r := s.startReady()
	for i := range 10 {
		id := fmt.Sprint("id-", i)
		got := r.do(context.Background(), callerRequest{id: id, path: "/once/a"})
		is.NoErr(got.err)
		is.Equal(got.status, 200)
		is.Equal(s.services[0].RunCount(id), 0)
		is.Equal(s.services[1].RunCount(id), 1)
	}
	is.True(len(s.services[0].RequestHeaders()) > 0) // it received the request and refused it
}

// busy keeps streams running on all decode engines until the test ends or the streams
// have sent the given number of events, one every 20 ms.
func (s *site) busy(events int) {
	s.t.Helper()
	for _, d := range s.decode {
		d.EventCount, d.EventInterval = events, 20*time.Millisecond
	}
	ctx, end := context.WithCancel(context.Background())
	var streams sync.WaitGroup
	s.t.Cleanup(func() { end(); streams.Wait() })
	for i := range 4 {
		streams.Go(func() { s.entries[0].do(ctx, callerRequest{id: fmt.Sprint("busy-", i), path: "/verse/b"}) })
	}
	s.until("the streams run", func() bool { return s.decode[0].Counts().Runs+s.decode[1].Counts().Runs == 4 })
}

// TestCallerDisconnects disconnects callers in each phase of a request. The replicas
// must stop working on it within 500 ms.
func TestCallerDisconnects(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(s *site)
		path    string
		at      func(s *site) []*extsim.Replica
		runs    int
	}{
		"during prefill": {
			// A busy decode engine doesn't prefill prompts itself.
			prepare: func(s *site) { s.busy(1000); injectFault(s.prefill, extsim.Hang, 1) }, path: "/long/a",
			at: func(s *site) []*extsim.Replica { return s.prefill },
		},
		"before the first event": {
			prepare: func(s *site) { injectFault(s.decode, extsim.Hang, 1) }, path: "/verse/a",
			at: func(s *site) []*extsim.Replica { return s.decode }, runs: 1,
		},
		"between two events": {
			prepare: func(s *site) {
				for _, d := range s.decode {
					d.EventCount, d.EventInterval = 1000, 20*time.Millisecond
				}
			}, path: "/long/a",
			at: func(s *site) []*extsim.Replica { return s.decode }, runs: 1,
		},
		"while a service runs": {
			prepare: func(s *site) { injectFault(s.services, extsim.Hang, 1) }, path: "/safe/a",
			at: func(s *site) []*extsim.Replica { return s.services }, runs: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			r := s.startReady()
			c.prepare(s)
			ctx, leave := context.WithCancel(context.Background())
			time.AfterFunc(150*time.Millisecond, leave)
			got := r.do(ctx, callerRequest{id: "id-1", path: c.path})
			is.True(got.err != nil)
			left := time.Now()
			ended := func() bool {
				n := 0
				for _, replica := range c.at(s) {
					n += replica.Counts().CanceledRuns
				}
				return n == 1
			}
			s.until("the run has ended", ended)
			is.True(time.Since(left) < 500*time.Millisecond)
			is.Equal(s.runs("id-1"), c.runs)
		})
	}
}

// TestDeadlinesOfRetries checks that a retry, after the first replica did not answer,
// gets a deadline reduced by the time that has passed.
func TestDeadlinesOfRetries(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	r := s.startReady()
	deadline := func(d *extsim.Replica, id string) (left int) {
		for _, h := range d.RequestHeaders() {
			if h.Get("Lacewinghook-Request-Id") == id {
				_, err := fmt.Sscan(h.Get("Lacewinghook-Deadline-Ms"), &left)
				is.NoErr(err)
			}
		}
		return left
	}
	for i := 0; ; i++ {
		id := fmt.Sprint("id-", i)
		s.services[0].InjectFault(extsim.Hang, 1)
		got := r.do(context.Background(), callerRequest{id: id, method: "GET", path: "/safe/a"})
		is.Equal(got.status, 200)
		if first := deadline(s.services[0], id); first > 0 {
			second := deadline(s.services[1], id)
			const slack = 100
			is.True(second <= first-int(got.took.Milliseconds())+slack)
			is.True(second < first-200)
			break
		}
	}
	injectFault(s.services, extsim.Hang, 1)
	got := r.do(context.Background(), callerRequest{id: "late", path: "/once/a"})
	is.Equal(got.status, http.StatusGatewayTimeout)
	// The route's timeout is 1 s.
	is.True(got.took > 900*time.Millisecond && got.took < 1250*time.Millisecond)
}
