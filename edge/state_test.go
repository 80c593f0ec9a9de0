package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/extsim"
)

// entriesTable is the table of the store in which entries register.
const entriesTable = "lacewinghook-entries"

// newRoute is a route added by a later manifest.
const newRoute = `,{"name":"new","host":"h.example","prefix":"/new/","route_kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2}`

// status returns the status of a GET request, zero after an error.
func (r *runningEntry) status(path string) int {
	return r.do(context.Background(), callerRequest{id: fmt.Sprint("q", time.Now().UnixNano()), method: "GET", path: path}).status
}

// TestNoManifest checks that an entry isn't ready before a manifest is published.
func TestNoManifest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := &site{t: t, store: extsim.NewStore(t)}
	r := s.start()
	s.until("the entry listens", func() bool { return r.status("/safe/a") != 0 })
	is.Equal(r.status("/safe/a"), 503)
	is.True(!r.ready())
	is.Equal(len(r.addresses()), 0)
	s.publish(3, 1000, "")
	s.until("the entry is ready", r.ready)
	is.Equal(len(r.addresses()), 1)
}

// TestReadyMeansServing guards against an entry that reports ready before its upstreams
// are applied: a request sent right after it becomes ready must be served.
func TestReadyMeansServing(t *testing.T) {
	for i := range 8 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			for range 3 {
				r := s.start()
				for !r.ready() {
				}
				is.Equal(r.status("/safe/a"), 200)
			}
		})
	}
}

// TestManifests checks that a new manifest is applied within 2 s, also when the store
// fails meanwhile.
func TestManifests(t *testing.T) {
	changes := map[string]func(s *site){
		"newer version":                        func(s *site) { s.publish(7, 1000, newRoute) },
		"after the store compacts its history": func(s *site) { s.store.Compact(); s.publish(7, 1000, newRoute); s.store.Compact() },
		"after a malformed manifest": func(s *site) {
			s.store.Put("op", "config", `{"version":"x"`)
			s.publish(7, 1000, newRoute)
		},
		"while the store is unavailable": func(s *site) {
			s.store.SetMode(extsim.Unavailable)
			s.publish(7, 1000, newRoute)
			time.AfterFunc(200*time.Millisecond, func() { s.store.SetMode(extsim.Up) })
		},
		"while the store resets connections": func(s *site) {
			s.store.SetMode(extsim.Reset)
			s.publish(7, 1000, newRoute)
			time.AfterFunc(200*time.Millisecond, func() { s.store.SetMode(extsim.Up) })
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			r := s.startReady()
			is.Equal(r.status("/new/a"), 404)
			changed := time.Now()
			change(s)
			s.until("the route is in force", func() bool { return r.status("/new/a") == 200 })
			is.True(time.Since(changed) < 2*time.Second)
			// A stale store may return an earlier manifest, which must be
			// ignored.
			s.publish(6, 1000, "")
			time.Sleep(100 * time.Millisecond)
			is.Equal(r.status("/new/a"), 200)
		})
	}
}

// TestLeavingReplicas checks that a replica gets no request 1.9 s after it has left or
// its row has become invalid.
func TestLeavingReplicas(t *testing.T) {
	for name, leave := range map[string]func(s *site){
		"draining":      func(s *site) { s.store.Put("servers", "d-0", s.services[0].Row("draining")) },
		"row removed":   func(s *site) { s.store.Remove("servers", "d-0") },
		"row malformed": func(s *site) { s.store.Put("servers", "d-0", `{"service":7}`) },
		"unknown state": func(s *site) { s.store.Put("servers", "d-0", s.services[0].Row("resting")) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			r := s.startReady()
			s.until("both are used", func() bool {
				var wait sync.WaitGroup
				for range 8 {
					wait.Go(func() { r.status("/safe/a") })
				}
				wait.Wait()
				return s.services[0].Counts().Runs > 0 && s.services[1].Counts().Runs > 0
			})
			leave(s)
			time.Sleep(1900 * time.Millisecond)
			before := s.services[0].Counts().Runs
			for range 40 {
				is.Equal(r.status("/safe/a"), 200)
			}
			is.Equal(s.services[0].Counts().Runs, before)
		})
	}
}

// TestUnreadableRows checks that rows that can't be decoded, and many rows of another
// service, don't affect requests.
func TestUnreadableRows(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	for i, row := range []string{
		`{`, `[]`, `7`, `{"service":"desk"}`, `{"service":"desk","address":7,"state":"ready"}`,
		`{"service":"desk","address":"nowhere","state":"ready"}`, `{"service":"desk","address":"127.0.0.1:1","state":"ready","phase":"resting"}`,
		`{"service":null,"address":"127.0.0.1:1","state":"ready"}`, `{"service":"desk","address":"127.0.0.1:1","state":["ready"]}`,
	} {
		s.store.Put("servers", fmt.Sprintf("bad-%d", i), row)
	}
	for i := range 30 {
		s.store.Put("servers", fmt.Sprintf("other-%d", i), strings.Replace(s.services[0].Row("draining"), "desk", "another", 1))
	}
	r := s.startReady()
	for range 10 {
		is.Equal(r.status("/safe/a"), 200)
	}
}

// TestStoreOutage checks that entries serve during an outage of the store, that one can
// start with the state of a peer, and that both use the store again afterwards.
func TestStoreOutage(t *testing.T) {
	for _, mode := range []extsim.Mode{extsim.Unavailable, extsim.TooManyRequests, extsim.NoResponse, extsim.Reset} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			r := s.startReady()
			s.until("the entry is registered", func() bool { return len(s.store.Keys(entriesTable)) == 1 })
			s.store.SetMode(mode)
			time.Sleep(500 * time.Millisecond)
			for _, path := range []string{"/once/a", "/verse/a"} {
				got := r.do(context.Background(), callerRequest{id: "id" + path, path: path})
				is.NoErr(got.err)
				is.Equal(got.status, 200)
			}
			is.True(r.ready())

			// A second entry starts during the outage and knows the first one
			// only as a seed.
			other := s.start(r)
			s.until("the other entry has its peer's state", other.ready)
			is.Equal(other.status("/safe/a"), 200)
			s.until("both are listed to callers", func() bool { return len(r.addresses()) == 2 && len(other.addresses()) == 2 })

			s.store.SetMode(extsim.Up)
			s.publish(9, 1000, newRoute)
			s.until("the other entry follows the store", func() bool { return other.status("/new/a") == 200 })
			s.until("both are registered", func() bool { return len(s.store.Keys(entriesTable)) == 2 })
		})
	}
}

// TestReplicasKeptAfterOutage removes the rows of replicas during an outage of the
// store, as the platform does when heartbeats can't be written. The entry must keep
// using the replicas until they have had time to register again.
func TestReplicasKeptAfterOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	r := s.startReady()
	is.Equal(r.status("/safe/a"), 200)
	s.store.SetMode(extsim.Unavailable)
	for _, d := range s.services {
		s.store.Remove("servers", d.ID)
	}
	time.Sleep(3500 * time.Millisecond)
	s.store.SetMode(extsim.Up)
	back := time.Now()
	for time.Since(back) < 1700*time.Millisecond {
		is.Equal(r.status("/safe/a"), 200)
		time.Sleep(50 * time.Millisecond)
	}
	s.store.Put("servers", "d-1", s.services[1].Row("ready"))
	time.Sleep(4 * time.Second)
	before := s.services[0].Counts().Runs
	for range 20 {
		is.Equal(r.status("/safe/a"), 200)
	}
	is.Equal(s.services[0].Counts().Runs, before)
}

// TestPeersDiscoverEachOther checks that an entry with one seed and the seed itself
// list each other.
func TestPeersDiscoverEachOther(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	a := s.startReady()
	b := s.startReady(a)
	s.until("both list each other", func() bool { return len(a.addresses()) == 2 && len(b.addresses()) == 2 })
}

// TestStop checks that an entry that stops is no longer listed, and still answers its
// requests in flight and late ones.
func TestStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	for _, d := range s.decode {
		d.EventCount, d.EventInterval = 30, 20*time.Millisecond
	}
	r := s.startReady()
	other := s.startReady(r)
	s.until("both are listed to callers", func() bool { return len(r.addresses()) == 2 && len(other.addresses()) == 2 })

	var failed atomic.Int64
	streamed := make(chan answer, 1)
	go func() { streamed <- r.do(context.Background(), callerRequest{id: "stream", path: "/verse/a"}) }()
	s.until("the stream runs", func() bool { return s.runs("stream") == 1 })
	begun := time.Now()
	r.stop()
	s.until("the entry isn't ready", func() bool { return !r.ready() })
	s.until("it is no longer listed to callers", func() bool {
		return slices.Equal(other.addresses(), []string{other.settings.Callers.Listen})
	})
	is.True(time.Since(begun) < time.Second)
	// Requests that still arrive are served, and their connections closed.
	for range 20 {
		got := r.do(context.Background(), callerRequest{id: fmt.Sprint("late", time.Now().UnixNano()), path: "/once/a"})
		if got.err != nil || got.status != 200 || !got.closes {
			failed.Add(1)
		}
	}
	is.Equal(failed.Load(), int64(0))
	got := <-streamed
	is.NoErr(got.err)
	is.Equal(got.body, streamBody(30))
	err := <-r.done
	r.done <- err
	is.NoErr(err)
	is.True(time.Since(begun) < r.settings.Fleet.Grace.Millis().Duration())
	s.until("its row is removed", func() bool { return len(s.store.Keys(entriesTable)) == 1 })
}

// TestMetrics checks that the metrics page counts retries and failed requests.
func TestMetrics(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	r := s.startReady()
	injectFault(s.services, extsim.Reject, 9)
	is.Equal(r.do(context.Background(), callerRequest{id: "id-1", path: "/once/a"}).status, 503)
	resp, err := http.Get("http://" + r.settings.Fleet.Metrics + "/metrics")
	is.NoErr(err)
	defer resp.Body.Close()
	body := make([]byte, 1<<16)
	n := 0
	for err == nil && n < len(body) {
		var m int
		m, err = resp.Body.Read(body[n:])
		n += m
	}
	for _, want := range []string{`lacewinghook_retries_total{reason="refused"}`, `lacewinghook_refused_total{code="upstream_refused"} 1`, `lacewinghook_latency_seconds_bucket`} {
		is.True(strings.Contains(string(body[:n]), want))
	}
}

// TestCrashingRequests repeats a request that crashes every replica that runs it, at
// both entries. It must be quarantined, and other requests must not be.
func TestCrashingRequests(t *testing.T) {
	for name, path := range map[string]string{"a call": "/once/a", "a call that may be repeated": "/safe/a", "a stream": "/verse/a"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			for i := range 3 {
				s.services = append(s.services, s.replica(fmt.Sprintf("d-%d", i+2), "desk", ""))
				s.decode = append(s.decode, s.replica(fmt.Sprintf("g-%d", i+2), "verse", "decode"))
			}
			entries := []*runningEntry{s.startReady()}
			entries = append(entries, s.startReady(entries[0]))
			s.until("both list each other", func() bool { return len(entries[0].addresses()) == 2 && len(entries[1].addresses()) == 2 })
			injectFault(s.services, extsim.Crash, 1)
			injectFault(s.decode, extsim.Crash, 1)
			ran := func() int {
				n := 0
				for _, list := range [][]*extsim.Replica{s.services, s.decode} {
					for _, r := range list {
						n += r.Counts().Runs
					}
				}
				return n
			}
			for i := range 8 {
				got := entries[i%2].do(context.Background(), callerRequest{id: fmt.Sprint("id-", i), path: path, body: "poison"})
				is.True(got.err != nil || got.status >= 500)
				time.Sleep(100 * time.Millisecond)
			}
			// Two crashes quarantine the request; one more run may be in flight
			// by then.
			is.True(ran() <= 3)
			got := entries[0].do(context.Background(), callerRequest{id: "other", path: path, body: "innocent"})
			is.True(got.err != nil || got.status != 503) // another request isn't quarantined
		})
	}
}

// TestPoisonOutlastsEntries guards against a request that is known to crash replicas and is
// tried again after all entries have been restarted, again and again.
func TestPoisonOutlastsEntries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	for i := range 6 {
		s.services = append(s.services, s.replica(fmt.Sprintf("d-%d", i+2), "desk", ""))
	}
	injectFault(s.services, extsim.Crash, 1)
	for range 3 {
		r := s.startReady()
		for i := range 4 {
			r.do(context.Background(), callerRequest{id: fmt.Sprint("id-", s.n, i), path: "/once/a", body: "poison"})
			time.Sleep(200 * time.Millisecond)
		}
		r.stop()
		is.NoErr(<-r.done)
		r.done <- nil
		s.restarted = true
	}
	is.True(countStopped(s.services) <= 3)
}

// TestPathInUseIsNotQuarantined guards against the rejection of a path that is asked for all
// the time and so is in flight whenever a replica crashes, whatever the cause.
func TestPathInUseIsNotQuarantined(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	for i := range 4 {
		s.services = append(s.services, s.replica(fmt.Sprintf("d-%d", i+2), "desk", ""))
	}
	entries := []*runningEntry{s.startReady()}
	entries = append(entries, s.startReady(entries[0]))
	s.until("both list each other", func() bool { return len(entries[0].addresses()) == 2 && len(entries[1].addresses()) == 2 })
	ask := func(n int) answer {
		return entries[n%2].do(context.Background(), callerRequest{id: fmt.Sprint("id-", n), path: "/safe/board", method: http.MethodGet})
	}
	n := 0
	for i := range 2 {
		injectFault(s.services[i:i+1], extsim.Crash, 1)
		s.until("a replica has crashed", func() bool { n++; ask(n); return s.services[i].Stopped() })
		for range 20 {
			n++
			ask(n)
			time.Sleep(10 * time.Millisecond)
		}
	}
	for range 20 {
		n++
		is.Equal(ask(n).status, http.StatusOK)
	}
}

// TestManyRoutes publishes a manifest as large as a row may be, then a small one again.
func TestManyRoutes(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	r := s.startReady()
	const routes = 250
	var more strings.Builder
	for i := range routes {
		fmt.Fprintf(&more, `,{"name":"r%d","host":"h.example","prefix":"/many/%d/","route_kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2}`, i, i)
	}
	s.publish(2, 1000, more.String())
	get := func(path string) int {
		return r.do(context.Background(), callerRequest{id: "id-" + path, method: "GET", path: path}).status
	}
	s.until("the manifest is in force", func() bool { return get("/many/0/a") == http.StatusOK })
	for i := range routes {
		is.Equal(get(fmt.Sprintf("/many/%d/a", i)), http.StatusOK)
	}
	is.Equal(get("/many/250/a"), http.StatusNotFound)
	is.Equal(get("/once/a"), http.StatusOK)
	s.publish(9, 1000, "")
	s.until("the routes are gone", func() bool { return get("/many/0/b") == http.StatusNotFound })
	is.Equal(get("/once/b"), http.StatusOK)
}

// TestRetryBudgetAcrossEntries counts the retries of several entries while every
// replica fails, also after a restart of all entries. Within one span, the total must
// not exceed the platform's retry budget.
func TestRetryBudgetAcrossEntries(t *testing.T) {
	for name, restart := range map[string]bool{"entries keep running": false, "all entries restarted": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			injectFault(s.services, extsim.ServerError, 1<<20)
			const round = 100
			sent := 0
			callAll := func(entries []*runningEntry) {
				var wg sync.WaitGroup
				for i := range round {
					id := fmt.Sprint("id-", sent+i)
					wg.Go(func() {
						entries[i%len(entries)].do(context.Background(), callerRequest{id: id, method: "GET", path: "/safe/a"})
					})
				}
				wg.Wait()
				sent += round
			}
			start := func() []*runningEntry {
				var all []*runningEntry
				for range 3 {
					all = append(all, s.startReady(all...))
				}
				return all
			}
			begun := time.Now()
			entries := start()
			callAll(entries)
			if restart {
				for _, r := range entries {
					r.stop()
				}
				s.restarted = true
				entries = start()
			}
			callAll(entries)
			r := entries[0].settings.Fleet.Retries
			is.True(time.Since(begun).Seconds() < float64(r.Span))
			retries := s.services[0].Counts().Runs + s.services[1].Counts().Runs - sent
			is.True(retries > 0)
			is.True(float64(retries) <= r.Ratio*float64(sent)+r.Slack)
			t.Logf("%d requests were retried %d times; allowed are %.0f", sent, retries, r.Ratio*float64(sent)+r.Slack)
		})
	}
}
