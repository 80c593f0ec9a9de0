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
	entries  []*running
	n        int
	// restarted is set if entries start on a platform that is already serving,
	// so that they aren't fresh.
	restarted bool
}

// running is a running entry.
type running struct {
	settings *config.Settings
	stop     context.CancelFunc
	done     chan error
	client   *http.Client
}

// newSite starts a store with a manifest and two replicas of each role.
func newSite(t *testing.T) *site {
	s := &site{t: t, store: extsim.NewStore(t)}
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
func (s *site) start(seeds ...*running) *running {
	s.t.Helper()
	s.n++
	var open []net.Listener
	port := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.t.Fatal(err)
		}
		open = append(open, ln)
		return ln.Addr().String()
	}
	set := &config.Settings{
		Instance: fmt.Sprintf("edge-%d", s.n), Centre: "moose-jaw",
		Callers: config.Listener{Listen: port()}, Peers: config.Listener{Listen: port()},
		Fleet: &config.Fleet{
			Store: s.store.Addr, Directory: port(), Readiness: port(), Metrics: port(),
			Grace: 4, Keep: 500, Retries: config.Retries{Ratio: 0.2, Slack: 58, Span: 10}, Fresh: !s.restarted,
		},
	}
	for _, r := range seeds {
		set.Seeds = append(set.Seeds, r.settings.Peers.Listen)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &running{settings: set, stop: stop, done: make(chan error, 1), client: &http.Client{Transport: &http.Transport{}}}
	go func() { r.done <- (&edge.Edge{Settings: set, Open: open}).Run(ctx) }()
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

// started starts an entry and waits until it is ready.
func (s *site) started(seeds ...*running) *running {
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

func (r *running) ready() bool {
	a, err := r.client.Get("http://" + r.settings.Fleet.Readiness + "/readyz")
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// addresses looks up the entries' addresses as a caller does.
func (r *running) addresses() []string {
	a, err := r.client.Get("http://" + r.settings.Fleet.Directory + "/resolve?name=h.example&region=r&zone=moose-jaw")
	if err != nil {
		return nil
	}
	defer a.Body.Close()
	var got struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if json.NewDecoder(a.Body).Decode(&got) != nil || got.TTL <= 0 {
		return nil
	}
	return got.Addresses
}

// ask is a caller's request.
type ask struct {
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
	// closes is set if the response closes the connection.
	closes bool
}

func (r *running) do(ctx context.Context, a ask) answer {
	if a.method == "" {
		a.method = http.MethodPost
	}
	hr, err := http.NewRequestWithContext(ctx, a.method, "http://"+r.settings.Callers.Listen+a.path, strings.NewReader(a.body))
	if err != nil {
		return answer{err: err}
	}
	hr.Host = "h.example"
	if a.id != "" {
		hr.Header.Set("Lacewinghook-Request-Id", a.id)
	}
	hr.Header.Set("Lacewinghook-Deadline-Ms", "4000")
	if strings.HasPrefix(a.path, "/verse/") || strings.HasPrefix(a.path, "/long/") {
		hr.Header.Set("Lacewinghook-Model", "m")
		hr.Header.Set("Lacewinghook-Token-Counts", "3000,2720")
		hr.Header.Set("Lacewinghook-Prefix-Hash", "5c1e07a2:200,91bd3f06:2800")
	}
	for name, value := range a.header {
		hr.Header.Set(name, value)
	}
	begun := time.Now()
	got, err := r.client.Do(hr)
	if err != nil {
		return answer{err: err, took: time.Since(begun)}
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	return answer{status: got.StatusCode, header: got.Header, body: string(body), err: err, took: time.Since(begun), closes: got.Close}
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

// each sets a fault for the next n requests of every replica in the list.
func each(list []*extsim.Replica, f extsim.Fault, n int) {
	for _, r := range list {
		r.InjectFault(f, n)
	}
}

// events returns the complete body of a stream of n tokens.
func events(n int) string {
	text := ""
	for i := 1; i <= n; i++ {
		text += fmt.Sprintf("id: %d\ndata: token%d\n\n", i, i)
	}
	return text
}

func TestAnswers(t *testing.T) {
	ctx := context.Background()
	cases := map[string]struct {
		prepare func(s *site)
		ask     ask
		status  int
		// body must be contained in the response body.
		body string
		// cut is set if the response must be truncated.
		cut  bool
		runs int
		// later is set if the response must have a Retry-After header.
		later bool
	}{
		"a call":                {ask: ask{path: "/once/a?x=%2f", body: "b"}, status: 200, body: "answer of d-", runs: 1},
		"a call without a body": {ask: ask{method: "GET", path: "/safe/a"}, status: 200, runs: 1},
		"the longest prefix":    {ask: ask{method: "GET", path: "/safe/deep/a"}, status: 200, runs: 1},
		"a stream":              {ask: ask{path: "/verse/a", body: "p"}, status: 200, body: events(4), runs: 1},
		"no such route":         {ask: ask{path: "/none/a"}, status: 404},
		"no such host":          {ask: ask{path: "/", header: map[string]string{}}, status: 404},
		"a bad count":           {ask: ask{path: "/verse/a", header: map[string]string{"Lacewinghook-Token-Counts": "x,1"}}, status: 400},
		"a bad prefix":          {ask: ask{path: "/verse/a", header: map[string]string{"Lacewinghook-Prefix-Hash": "zz:1"}}, status: 400},
		"a bad deadline":        {ask: ask{path: "/once/a", header: map[string]string{"Lacewinghook-Deadline-Ms": "soon"}}, status: 400},
		"a long body":           {ask: ask{path: "/once/a", body: strings.Repeat("x", 100001)}, status: 413},
		"a deadline that is past": {
			ask: ask{path: "/once/a", header: map[string]string{"Lacewinghook-Deadline-Ms": "0"}}, status: 503,
		},

		"once, the answer is lost": {
			prepare: func(s *site) { each(s.services, extsim.LoseAnswer, 1) }, ask: ask{path: "/once/a"}, status: 502, runs: 1,
		},
		"once, the answer is cut": {
			prepare: func(s *site) { each(s.services, extsim.CutAnswer, 1) }, ask: ask{path: "/once/a"}, status: 502, runs: 1,
		},
		"once, the answer is garbage": {
			prepare: func(s *site) { each(s.services, extsim.InvalidAnswer, 1) }, ask: ask{path: "/once/a"}, status: 502, runs: 1,
		},
		"once, the success is unsigned": {
			prepare: func(s *site) { each(s.services, extsim.Unsigned, 1) }, ask: ask{path: "/once/a"}, status: 502, runs: 1,
		},
		"once, the replica fails": {
			prepare: func(s *site) { each(s.services, extsim.ServerError, 1) }, ask: ask{path: "/once/a"}, status: 500, body: "failed", runs: 1,
		},
		"once, one replica is full": {
			prepare: func(s *site) { s.services[0].InjectFault(extsim.Reject, 1) }, ask: ask{path: "/once/a"}, status: 200, runs: 1,
		},
		"once, all replicas are full": {
			prepare: func(s *site) { each(s.services, extsim.Reject, 5) }, ask: ask{path: "/once/a"}, status: 503, later: true,
		},
		"once, one replica is gone": {
			prepare: func(s *site) { s.services[0].Stop() }, ask: ask{path: "/once/a"}, status: 200, runs: 1,
		},
		"once, all replicas are gone": {
			prepare: func(s *site) { s.services[0].Stop(); s.services[1].Stop() }, ask: ask{path: "/once/a"}, status: 503, later: true,
		},
		"once, the replica is silent": {
			prepare: func(s *site) { each(s.services, extsim.Hang, 1) }, ask: ask{path: "/once/a"}, status: 504, runs: 1,
		},
		"once, without a length": {
			prepare: func(s *site) { each(s.services, extsim.NoContentLength, 1) }, ask: ask{path: "/once/a"}, status: 200, body: "answer of d-", runs: 1,
		},
		"safe, the answer is lost": {
			prepare: func(s *site) {
				s.services[0].InjectFault(extsim.LoseAnswer, 1)
				s.services[1].InjectFault(extsim.LoseAnswer, 1)
			},
			ask: ask{method: "GET", path: "/safe/a"}, status: 502, runs: 2,
		},
		"safe, one replica is silent": {
			prepare: func(s *site) { s.services[0].InjectFault(extsim.Hang, 1) }, ask: ask{method: "GET", path: "/safe/a"}, status: 200,
		},
		"safe, the first replica fails": {
			prepare: func(s *site) { s.services[0].InjectFault(extsim.ServerError, 1) }, ask: ask{method: "GET", path: "/safe/a"}, status: 200,
		},
		"safe, both replicas fail": {
			prepare: func(s *site) { each(s.services, extsim.ServerError, 1) }, ask: ask{method: "GET", path: "/safe/a"}, status: 500, body: "failed", runs: 2,
		},

		"a stream that is cut": {
			prepare: func(s *site) { each(s.decode, extsim.CutAnswer, 1) }, ask: ask{path: "/verse/a"}, status: 200, cut: true, runs: 1,
		},
		"a stream that is resumed": {
			prepare: func(s *site) {
				s.decode[0].InjectFault(extsim.CutAnswer, 1)
				s.decode[1].InjectFault(extsim.CutAnswer, 1)
			},
			ask: ask{path: "/long/a"}, status: 200, body: events(4), runs: 2,
		},
		"a stream whose caller resumes it": {
			ask: ask{path: "/long/a", header: map[string]string{"Last-Event-Id": "3"}}, status: 200, body: "id: 4\ndata: token4\n\n", runs: 1,
		},
		"a stream, all decode engines are full": {
			prepare: func(s *site) { each(s.decode, extsim.Reject, 9) }, ask: ask{path: "/verse/a"}, status: 503, later: true,
		},
		"a stream without prefill engines": {
			prepare: func(s *site) { s.prefill[0].Stop(); s.prefill[1].Stop() }, ask: ask{path: "/verse/a"}, status: 200, body: events(4), runs: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			r := s.started()
			if c.prepare != nil {
				c.prepare(s)
			}
			c.ask.id = "id-1"
			if name == "no such host" {
				r.client = &http.Client{Transport: hostless{}}
			}
			got := r.do(ctx, c.ask)
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
			is.Equal(got.header.Get("Retry-After") != "", c.later)
			if got.status == 200 && !c.cut {
				is.Equal(got.header.Get("Lacewinghook-Replica-Signature"), "sig.id-1")
			}
			if c.ask.path == "/once/a?x=%2f" {
				is.Equal(got.header.Get("Seen-Path"), c.ask.path)
				is.Equal(got.header.Get("Seen-Body"), c.ask.body)
			}
		})
	}
}

// hostless sends requests with a Host that no route has.
type hostless struct{}

func (hostless) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Host = "other.example"
	return http.DefaultTransport.RoundTrip(r)
}

func TestRouterHeaders(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	r := s.started()
	got := r.do(context.Background(), ask{id: "id-1", path: "/verse/a", header: map[string]string{
		"Lacewinghook-Kv-Source": "10.0.0.1:1/x", "Lacewinghook-Kv-Retain": "x", "Lacewinghook-Phase": "prefill",
		"Lacewinghook-Pin-Ms": "9", "Lacewinghook-Kv-Backup": "10.0.0.1:1", "Lacewinghook-Expect-Replica": "i-other",
		"Lacewinghook-Request-Priority": "0", "Connection": "X-Hop", "X-Hop": "1", "X-Kept": "1",
	}})
	is.Equal(got.status, 200)
	is.Equal(got.body, events(4))
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

func TestExtraAnswerIsDiscarded(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	r := s.started()
	for i := range 20 {
		each(s.services, extsim.DuplicateAnswer, 1)
		id := fmt.Sprintf("id-%d", i)
		got := r.do(context.Background(), ask{id: id, path: "/once/a"})
		is.NoErr(got.err)
		is.Equal(got.status, 200)
		is.Equal(got.header.Get("Lacewinghook-Replica-Signature"), "sig."+id)
		is.Equal(s.runs(id), 1)
	}
}

// Guards against a desynchronized connection: the replicas answer long
// requests at once and read the body later. The connection must not be reused
// until the rest of the body is sent.
func TestAnswersBeforeTheBody(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	r := s.started()
	long := strings.Repeat("x", 90_000)
	each(s.services, extsim.EarlyAnswer, 1<<20)
	for i := range 20 {
		id := fmt.Sprintf("id-%d", i)
		got := r.do(context.Background(), ask{id: id, path: "/once/a", body: long})
		is.NoErr(got.err)
		is.Equal(got.status, 200)
		is.Equal(got.header.Get("Lacewinghook-Replica-Signature"), "sig."+id)
	}
	s.until("all bodies are read", func() bool { return s.services[0].Counts().Runs+s.services[1].Counts().Runs == 20 })
	each(s.services, extsim.EarlyAnswer, 0)
	for i := range 20 {
		id := fmt.Sprintf("next-%d", i)
		got := r.do(context.Background(), ask{id: id, path: "/once/a", body: long})
		is.Equal(got.status, 200)
		is.Equal(got.header.Get("Seen-Body"), long)
		is.Equal(s.runs(id), 1)
	}
	is.Equal(s.services[0].Counts().CorruptBodies+s.services[1].Counts().CorruptBodies, 0)
}

// Replicas close idle connections that the entry keeps. Calls that must not
// be repeated still succeed, and run once.
func TestDeadKeepAliveConnections(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	r := s.started()
	for i := range 10 {
		id := fmt.Sprint("id-", i)
		got := r.do(context.Background(), ask{id: id, path: "/once/a"})
		is.NoErr(got.err)
		is.Equal(got.status, 200)
		is.Equal(s.runs(id), 1)
		for _, d := range s.services {
			d.CloseConnections()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// The list of replicas has a row with an address that another replica uses by
// now, since the list lags. The replica at that address must refuse the
// request, which goes to the right one.
func TestAddressOfAnotherReplica(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.store.Remove("servers", "d-0")
	s.store.Put("servers", "d-00", s.services[0].Row("ready"))
	r := s.started()
	for i := range 10 {
		id := fmt.Sprint("id-", i)
		got := r.do(context.Background(), ask{id: id, path: "/once/a"})
		is.NoErr(got.err)
		is.Equal(got.status, 200)
		is.Equal(s.services[0].RunCount(id), 0)
		is.Equal(s.services[1].RunCount(id), 1)
	}
	is.True(len(s.services[0].RequestHeaders()) > 0) // it received the request and refused it
}

// busy keeps streams running on all decode engines until the test ends.
func (s *site) busy() {
	s.t.Helper()
	for _, d := range s.decode {
		d.EventCount, d.EventInterval = 1000, 20*time.Millisecond
	}
	ctx, end := context.WithCancel(context.Background())
	var streams sync.WaitGroup
	s.t.Cleanup(func() { end(); streams.Wait() })
	for i := range 4 {
		streams.Go(func() { s.entries[0].do(ctx, ask{id: fmt.Sprint("busy-", i), path: "/verse/b"}) })
	}
	s.until("the streams run", func() bool { return s.decode[0].Counts().Runs+s.decode[1].Counts().Runs == 4 })
}

// Callers disconnect in each phase. Within 500 ms, no replica works for them
// any more.
func TestCallerDisconnects(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(s *site)
		path    string
		at      func(s *site) []*extsim.Replica
		runs    int
	}{
		"while its prompt is read": {
			// A busy decode engine doesn't prefill prompts itself.
			prepare: func(s *site) { s.busy(); each(s.prefill, extsim.Hang, 1) }, path: "/long/a",
			at: func(s *site) []*extsim.Replica { return s.prefill },
		},
		"before the first event": {
			prepare: func(s *site) { each(s.decode, extsim.Hang, 1) }, path: "/verse/a",
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
		"while a service works": {
			prepare: func(s *site) { each(s.services, extsim.Hang, 1) }, path: "/safe/a",
			at: func(s *site) []*extsim.Replica { return s.services }, runs: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			r := s.started()
			c.prepare(s)
			ctx, leave := context.WithCancel(context.Background())
			time.AfterFunc(150*time.Millisecond, leave)
			got := r.do(ctx, ask{id: "id-1", path: c.path})
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

// After the first replica stayed silent, the deadline sent to the second one
// must be reduced by the time that has passed.
func TestDeadlinesOfRetries(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	r := s.started()
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
		got := r.do(context.Background(), ask{id: id, method: "GET", path: "/safe/a"})
		is.Equal(got.status, 200)
		if first := deadline(s.services[0], id); first > 0 {
			second := deadline(s.services[1], id)
			const slack = 100
			is.True(second <= first-int(got.took.Milliseconds())+slack)
			is.True(second < first-200)
			break
		}
	}
	each(s.services, extsim.Hang, 1)
	got := r.do(context.Background(), ask{id: "late", path: "/once/a"})
	is.Equal(got.status, http.StatusGatewayTimeout)
	// The route's timeout is 1 s.
	is.True(got.took > 900*time.Millisecond && got.took < 1250*time.Millisecond)
}
