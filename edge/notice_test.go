package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/extsim"
	"lacewinghook.example/lacewinghook/notice"
)

// drainTime is how long after a forwarded answer that states that its replica leaves
// requests may still reach the replica.
const drainTime = 2 * time.Second

// sentCall is a call of a burst.
type sentCall struct {
	at     time.Time
	answer answer
}

// burst sends n calls to the entry, evenly over d, and returns them by their IDs.
func (r *runningEntry) burst(n int, d time.Duration, paths ...string) map[string]sentCall {
	return r.groups(n, 1, d, paths...)
}

// groups is burst with calls that are sent together in groups, so that they spread over
// the replicas.
func (r *runningEntry) groups(n, size int, d time.Duration, paths ...string) map[string]sentCall {
	var (
		mu    sync.Mutex
		wait  sync.WaitGroup
		calls = make(map[string]sentCall, n)
	)
	for i := range n {
		if i%size == 0 {
			time.Sleep(d * time.Duration(size) / time.Duration(n))
		}
		wait.Go(func() {
			path := paths[i%len(paths)]
			id := fmt.Sprintf("call-%s-%d-%d", strings.Trim(path, "/"), time.Now().UnixNano(), i)
			at := time.Now()
			got := r.do(context.Background(), callerRequest{id: id, path: path + "a", body: "b"})
			mu.Lock()
			defer mu.Unlock()
			calls[id] = sentCall{at: at, answer: got}
		})
	}
	wait.Wait()
	return calls
}

// streamFor sets the length of all streams that start later, in events of 10 ms each.
// Holds are requested, and prompts computed apart, for engines that run some streams.
func (s *site) streamFor(events int) {
	for _, d := range s.decode {
		d.EventCount, d.EventInterval = events, 10*time.Millisecond
	}
}

// lateArrivals counts the requests that reached the replica although their callers sent
// them later than drainTime after the first answer that used one of it and had been
// forwarded. In these tests nothing fails, so that the first such answer is that to one
// of the requests to which the replica answered that it leaves.
func lateArrivals(r *extsim.Replica, calls map[string]sentCall) int {
	var first time.Time
	arrivals := r.Arrivals()
	for _, a := range arrivals {
		c, ok := calls[a.ID]
		if !ok || !a.Leaving || a.Other || c.answer.status != http.StatusOK {
			continue
		}
		if at := c.at.Add(c.answer.head); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	late := 0
	for _, a := range arrivals {
		if c, ok := calls[a.ID]; ok && !a.Other && !first.IsZero() && c.at.Sub(first) > drainTime {
			late++
		}
	}
	return late
}

// TestReplicaThatStatesItLeavesGetsNoRequests guards against requests that reach a
// replica later than drainTime after an answer with Server-Leaving was forwarded, while
// the list of replicas still shows it as ready.
func TestReplicaThatStatesItLeavesGetsNoRequests(t *testing.T) {
	for name, c := range map[string]struct {
		replicas func(s *site) []*extsim.Replica
		paths    []string
	}{
		"service": {func(s *site) []*extsim.Replica { return s.services }, []string{"/once/", "/safe/"}},
		"decode":  {func(s *site) []*extsim.Replica { return s.decode }, []string{"/verse/", "/long/"}},
		"prefill": {func(s *site) []*extsim.Replica { return s.prefill }, []string{"/verse/", "/long/"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			random := rand.New(rand.NewPCG(27, uint64(len(name))))
			s := newSite(t)
			r := s.startReady()
			s.streamFor(15)
			leaver := c.replicas(s)[random.IntN(2)]
			time.AfterFunc(time.Duration(random.IntN(500))*time.Millisecond, func() { leaver.Leave(true) })
			calls := r.groups(200, 6, 4*time.Second, c.paths...)
			for id, call := range calls {
				if call.answer.err != nil || call.answer.status != http.StatusOK {
					t.Errorf("%s: status %d, error %v", id, call.answer.status, call.answer.err)
				}
			}
			is.True(slices.ContainsFunc(leaver.Arrivals(), func(a extsim.Arrival) bool { return a.Leaving }))
			is.Equal(lateArrivals(leaver, calls), 0)
		})
	}
}

// TestAllReplicasLeave guards against requests that reach replicas that all leave: they
// serve until drainTime has passed, and later requests are rejected at once.
func TestAllReplicasLeave(t *testing.T) {
	for name, paths := range map[string][]string{"service": {"/once/", "/safe/"}, "engines": {"/verse/", "/long/"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			r := s.startReady()
			all := s.services
			if name == "engines" {
				all = s.decode
			}
			for _, replica := range all {
				replica.Leave(true)
			}
			calls := r.burst(200, 5*time.Second, paths...)
			served, rejected := 0, 0
			for _, call := range calls {
				is.NoErr(call.answer.err)
				switch call.answer.status {
				case http.StatusOK:
					served++
				case http.StatusServiceUnavailable:
					rejected++
					is.True(call.answer.header.Get("Retry-After") != "")
					is.True(call.answer.took < time.Second) // rejected at once
				default:
					t.Errorf("status %d", call.answer.status)
				}
			}
			is.True(served > 40)
			is.True(rejected > 40)
			for _, replica := range all {
				is.Equal(lateArrivals(replica, calls), 0)
			}
		})
	}
}

// listChanges returns how often the entry has seen a change of a replica in the list.
func (r *runningEntry) listChanges(replica string) int {
	lines := r.logs.FilterField(zap.String("replica", replica))
	return lines.FilterMessage("edge: replica changed").Len() + lines.FilterMessage("edge: a replica is gone").Len()
}

// metricsPage returns the entry's metrics page.
func (r *runningEntry) metricsPage() string {
	resp, err := r.client.Get("http://" + r.settings.Fleet.Metrics + "/metrics")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	return string(body)
}

// TestLeavingOutlastsTheList guards against a list of replicas that shows a replica as
// ready, or doesn't show it for a moment, and thereby gives it requests although it has
// stated that it leaves. A new run of the replica gets requests again.
func TestLeavingOutlastsTheList(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	r := s.startReady()
	leaver := s.services[0]
	leaver.Leave(true)
	s.until("an answer states that the replica leaves", func() bool {
		r.status("/safe/a")
		return leaver.Counts().Runs > 0
	})
	noMore := func() {
		t.Helper()
		before := leaver.Counts().Runs
		calls := r.burst(20, 100*time.Millisecond, "/safe/")
		is.Equal(len(calls), 20)
		is.Equal(leaver.Counts().Runs, before)
	}
	noMore()
	for _, change := range []func(){
		func() { s.store.Put("servers", leaver.ID, leaver.Row("draining")) },
		func() { s.store.Put("servers", leaver.ID, leaver.Row("ready")) },
		func() { s.store.Remove("servers", leaver.ID) },
		func() { s.store.Put("servers", leaver.ID, leaver.Row("ready")) },
	} {
		known := r.listChanges(leaver.ID)
		change()
		s.until("the list is read", func() bool { return r.listChanges(leaver.ID) > known })
		noMore()
	}

	leaver.Leave(false)
	s.store.Put("servers", leaver.ID, leaver.RowOf("ready", 1700000009000))
	before := leaver.Counts().Runs
	s.until("the new run is used", func() bool {
		r.burst(8, 8*time.Millisecond, "/safe/")
		return leaver.Counts().Runs > before
	})
}

// TestPeersTellOfLeavingReplicas guards against an entry that has restarted and sends
// requests to a replica that another entry knows to leave.
func TestPeersTellOfLeavingReplicas(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	first := s.startReady()
	s.restarted = true
	leaver := s.services[0]
	leaver.Leave(true)
	s.until("an answer states that the replica leaves", func() bool {
		first.status("/safe/a")
		return leaver.Counts().Runs > 0
	})
	second := s.startReady(first)
	s.until("the entries know each other", func() bool { return len(second.addresses()) == 2 })
	before := leaver.Counts().Runs
	second.burst(40, 200*time.Millisecond, "/once/", "/safe/")
	is.Equal(leaver.Counts().Runs, before)

	// The word of a peer excludes no replica while there is no other one.
	s.services[1].Stop()
	s.until("the leaving replica is used", func() bool { return second.status("/safe/a") == http.StatusOK })
}

// pausedArrivals counts the requests that reached a replica between half a second after
// its first rejection with Retry-After and the end of that time.
func pausedArrivals(r *extsim.Replica) int {
	rejections := r.Rejections()
	if len(rejections) == 0 {
		return 0
	}
	from, until := rejections[0].At.Add(500*time.Millisecond), rejections[0].At.Add(rejections[0].After)
	n := 0
	for _, a := range r.Arrivals() {
		if a.At.After(from) && a.At.Before(until) {
			n++
		}
	}
	return n
}

// minRejections is after how many rejections a call with one attempt may end: three sends
// are allowed, and a prefill that is repeated after a rejection is one of them.
const minRejections = 2

// TestPausedReplicasGetNoRequests guards against requests of any kind that reach a
// replica during the pause that it asked for.
func TestPausedReplicasGetNoRequests(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			random := rand.New(rand.NewPCG(27, seed))
			s := newSite(t)
			s.services = append(s.services, s.replica("d-2", "desk", ""))
			s.decode = append(s.decode, s.replica("g-2", "verse", "decode"))
			s.retries.Slack = 500
			s.streamFor(15)
			r := s.startReady()
			all := [][]*extsim.Replica{s.services, s.prefill, s.decode}
			var longest time.Duration
			var paused []*extsim.Replica
			for _, list := range all {
				// One replica of each kind goes on.
				spared := random.IntN(len(list))
				for i, replica := range list {
					if i == spared {
						continue
					}
					d := time.Duration(300+random.IntN(4700)) * time.Millisecond
					longest = max(longest, d)
					paused = append(paused, replica)
					time.AfterFunc(time.Duration(random.IntN(300))*time.Millisecond, func() { replica.Pause(d) })
				}
			}
			calls := r.groups(200, 8, longest+500*time.Millisecond, "/once/", "/verse/", "/safe/", "/long/")
			rejections := make(map[string]int)
			for _, replica := range paused {
				for _, rejection := range replica.Rejections() {
					rejections[rejection.ID]++
				}
			}
			for id, call := range calls {
				// Each rejection is by a replica whose pause wasn't known yet.
				rejected := call.answer.status == http.StatusServiceUnavailable && rejections[id] >= minRejections && s.runs(id) == 0
				if call.answer.err != nil || call.answer.status != http.StatusOK && !rejected {
					t.Errorf("%s: status %d after %v and %d rejections, error %v", id, call.answer.status, call.answer.took, rejections[id], call.answer.err)
					for _, line := range r.logs.FilterField(zap.String("request", id)).All() {
						t.Log(line.Time.Format(time.StampMilli), line.Message, line.ContextMap())
					}
				}
			}
			asked := 0
			for _, replica := range paused {
				if len(replica.Rejections()) > 0 {
					asked++
				}
				if n := pausedArrivals(replica); n != 0 {
					t.Errorf("%s: %d requests in its pause", replica.ID, n)
				}
			}
			t.Logf("%d of %d replicas rejected requests", asked, len(paused))
			is.True(asked >= 3)
		})
	}
}

// TestManyReplicasPausedAtOnce guards against requests that reach replicas in their pauses
// while all but one of a service ask for pauses of different lengths at once, and against
// replicas that get nothing after their pause.
func TestManyReplicasPausedAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const count = 20
	random := rand.New(rand.NewPCG(27, count))
	s := newSite(t)
	for i := len(s.services); i <= count; i++ {
		s.services = append(s.services, s.replica(fmt.Sprint("d-", i), "desk", ""))
	}
	s.retries.Slack = 500
	r := s.startReady()
	paused := s.services[:count]
	var longest time.Duration
	for _, replica := range paused {
		d := time.Duration(300+random.IntN(4700)) * time.Millisecond
		longest = max(longest, d)
		replica.Pause(d)
	}
	calls := r.groups(600, 30, longest+500*time.Millisecond, "/safe/", "/once/")
	asked := 0
	for _, replica := range paused {
		if n := pausedArrivals(replica); n != 0 {
			t.Errorf("%s: %d requests in its pause", replica.ID, n)
		}
		if len(replica.Rejections()) > 0 {
			asked++
		}
	}
	is.True(asked >= count/2)
	for id, call := range calls {
		is.NoErr(call.answer.err)
		if call.answer.status != http.StatusOK && s.runs(id) != 0 {
			t.Errorf("%s: status %d and has run", id, call.answer.status)
		}
	}
	s.until("the replicas are used again", func() bool {
		r.groups(60, 30, 100*time.Millisecond, "/safe/")
		return !slices.ContainsFunc(paused, func(p *extsim.Replica) bool { return len(p.Rejections()) > 0 && p.Counts().Runs == 0 })
	})
}

// TestAllReplicasPaused guards against requests that wait in vain, or reach the replicas,
// while all of them are paused: they are rejected at once with the time to return at, or
// wait if the first pause ends within the latency target.
func TestAllReplicasPaused(t *testing.T) {
	for name, path := range map[string]string{"service": "/safe/", "engines": "/verse/"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			r := s.startReady()
			all := s.services
			if name == "engines" {
				all = s.decode
			}
			for _, replica := range all {
				replica.Pause(2500 * time.Millisecond)
			}
			// The first calls learn of the pauses.
			s.until("the pauses are known", func() bool {
				r.do(context.Background(), callerRequest{id: fmt.Sprint("first-", time.Now().UnixNano()), path: path + "a"})
				return len(all[0].Rejections()) > 0 && len(all[1].Rejections()) > 0
			})
			asked := time.Now()
			got := r.do(context.Background(), callerRequest{id: "id-1", path: path + "a"})
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(got.took < 300*time.Millisecond)
			seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			is.NoErr(err)
			end := all[0].Rejections()[0]
			is.True(asked.Add(time.Duration(seconds * float64(time.Second))).After(end.At.Add(end.After - 100*time.Millisecond)))
			for _, replica := range all {
				is.Equal(pausedArrivals(replica), 0)
			}

			// A call whose target allows it waits for the end of the pause.
			time.Sleep(time.Until(end.At.Add(end.After - 150*time.Millisecond)))
			got = r.do(context.Background(), callerRequest{id: "id-2", path: path + "a"})
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
		})
	}
}

// TestUnreadablePauses guards against a replica that is lost for good, or an entry that
// fails, because of a Retry-After that isn't a number of seconds.
func TestUnreadablePauses(t *testing.T) {
	for _, value := range []string{"-5", "soon", "", "NaN", "Inf", "1e400", "0", "Fri, 01 Jan 1999 00:00:00 GMT", "5, 3"} {
		t.Run(value, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			r := s.startReady()
			s.services[1].Stop()
			s.services[0].RejectWith(value, value, value)
			s.until("the replica is used", func() bool { return r.status("/safe/a") == http.StatusOK })
		})
	}
}

// TestForeignAnswerDoesNotExclude guards against a replica that gets no requests because
// another one at its address, or an answer that isn't its own, states that it leaves.
func TestForeignAnswerDoesNotExclude(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	s.store.Remove("servers", "d-0")
	s.store.Put("servers", "d-00", s.services[0].Row("ready"))
	s.services[0].Leave(true)
	r := s.startReady()
	s.until("the address is asked", func() bool {
		r.status("/safe/a")
		return len(s.services[0].Arrivals()) > 0
	})
	is.True(!strings.Contains(r.metricsPage(), `lacewinghook_replicas_leaving_total`))
}

// TestReplacedReplicaIsNotAskedAgain guards against requests that go again and again to the
// address of a replica at which another one answers, for as long as the list shows the old
// one, as while the store is away.
func TestReplacedReplicaIsNotAskedAgain(t *testing.T) {
	for _, path := range []string{"/once/a", "/safe/a", "/verse/a"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			replaced := []*extsim.Replica{s.services[0], s.prefill[0], s.decode[0]}
			for _, old := range replaced {
				s.store.Remove("servers", old.ID)
				s.store.Put("servers", old.ID+"0", old.Row("ready"))
			}
			entries := []*runningEntry{s.startReady()}
			entries = append(entries, s.startReady(entries[0]))
			s.until("both know each other", func() bool { return len(entries[0].addresses()) == 2 && len(entries[1].addresses()) == 2 })
			for i := range 30 {
				got := entries[i%2].do(context.Background(), callerRequest{id: fmt.Sprint("id-", i), path: path})
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				time.Sleep(20 * time.Millisecond)
			}
			for _, old := range replaced {
				is.True(len(old.RequestHeaders()) <= 2) // at most once from each entry
			}
			barred := 0
			for _, r := range entries {
				resp, err := r.client.Get("http://" + r.settings.Fleet.Metrics + "/replicas")
				is.NoErr(err)
				var views []notice.View
				is.NoErr(json.NewDecoder(resp.Body).Decode(&views))
				is.NoErr(resp.Body.Close())
				for _, v := range views {
					if v.Barred && strings.HasSuffix(v.Replica, "-00") {
						barred++
					}
				}
			}
			is.True(barred > 0)
		})
	}
}

// TestCrashIsFoundOutOnce guards against a crashed replica whose refusal to connect each
// entry, and request by request, finds out by itself, each time at the cost of a retry.
func TestCrashIsFoundOutOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	for i := range 2 {
		s.decode = append(s.decode, s.replica(fmt.Sprintf("g-%d", i+2), "verse", "decode"))
	}
	entries := []*runningEntry{s.startReady()}
	for len(entries) < 6 {
		entries = append(entries, s.startReady(entries[0]))
	}
	s.until("all entries know each other", func() bool {
		return !slices.ContainsFunc(entries, func(r *runningEntry) bool { return len(r.addresses()) != len(entries) })
	})
	s.decode[0].Stop()
	for i := range 60 {
		got := entries[i%len(entries)].do(context.Background(), callerRequest{id: fmt.Sprint("id-", i), path: "/verse/a"})
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		time.Sleep(15 * time.Millisecond)
	}
	refused := 0
	for _, r := range entries {
		refused += r.logs.FilterMessage("relay: an upstream failed the request").Len()
	}
	is.True(refused <= 2) // of 60 requests at 6 entries, in less than the time for which one refusal counts
}
