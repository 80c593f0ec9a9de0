package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/extsim"
	"lacewinghook.example/lacewinghook/taint"
)

// The bounds of the platform for requests with a part that crashes replicas: at most
// maxLateSends of them reach replicas later than stableWindow after the crash number
// countedCrashes.
const (
	countedCrashes = 5
	maxLateSends   = 3
	stableWindow   = 3 * time.Second
)

// taintedSite is a site whose decode engines crash on some parts of prompts.
type taintedSite struct {
	*site
	deadly []string
	sent   atomic.Int64
}

// engineCount is the number of decode engines of a tainted site: enough that some are
// left after the test.
const engineCount = 16

// newTaintedSite starts engines that crash on the given parts.
func newTaintedSite(t *testing.T, deadly ...string) *taintedSite {
	s := &taintedSite{site: newSite(t), deadly: deadly}
	for len(s.decode) < engineCount {
		s.decode = append(s.decode, s.replica(fmt.Sprintf("g-%d", len(s.decode)), "verse", "decode"))
	}
	for _, d := range s.decode {
		d.DeadlyParts = deadly
	}
	return s
}

// crashes returns the number of engines that have crashed.
func (s *taintedSite) crashes() int { return countStopped(s.decode) }

// countStopped returns how many of the replicas have crashed or were stopped.
func countStopped(replicas []*extsim.Replica) int {
	n := 0
	for _, r := range replicas {
		if r.Stopped() {
			n++
		}
	}
	return n
}

// removeCrashed removes the rows of crashed engines and waits until the entries know it.
func (s *taintedSite) removeCrashed(entries []*runningEntry) {
	for _, d := range s.decode {
		if d.Stopped() {
			s.store.Remove("servers", d.ID)
		}
	}
	s.until("no entry lists a crashed engine", func() bool {
		for _, r := range entries {
			if r.logs.FilterMessage("edge: a replica is gone").Len() < s.crashes() {
				return false
			}
		}
		return true
	})
}

// ask sends a completion whose prompt has the given parts and one of its own to an
// entry and waits for the answer.
func (s *taintedSite) ask(r *runningEntry, path, parts string) answer {
	n := s.sent.Add(1)
	return r.do(context.Background(), callerRequest{id: fmt.Sprint("id-", n), path: path, body: fmt.Sprint(n),
		header: map[string]string{"Lacewinghook-Prefix-Hash": fmt.Sprintf("%s,%x:100", parts, 0xabcd000+n)}})
}

// reached returns the number of sends to engines of requests with a deadly part.
func (s *taintedSite) reached() int {
	n := 0
	for _, list := range [][]*extsim.Replica{s.prefill, s.decode} {
		for _, r := range list {
			for _, h := range r.RequestHeaders() {
				if extsim.HasPart(h, s.deadly) {
					n++
				}
			}
		}
	}
	return n
}

// startAll starts n entries and waits until they know each other.
func (s *taintedSite) startAll(n int) []*runningEntry {
	entries := []*runningEntry{s.startReady()}
	for len(entries) < n {
		entries = append(entries, s.startReady(entries[0]))
	}
	s.until("all entries know each other", func() bool {
		for _, r := range entries {
			if len(r.addresses()) != n {
				return false
			}
		}
		return true
	})
	return entries
}

// quarantine sends requests with the parts until all entries reject them. Each entry
// hears of a crash before the next request is sent.
func (s *taintedSite) quarantine(entries []*runningEntry, parts string) {
	for i := 0; s.crashes() < 4*len(s.deadly) && !s.allReject(entries, parts); i++ {
		s.ask(entries[i%len(entries)], "/verse/a", parts)
		time.Sleep(300 * time.Millisecond)
	}
	s.until("all entries reject the parts", func() bool { return s.allReject(entries, parts) })
}

// quarantines returns how many parts the entry has quarantined.
func (r *runningEntry) quarantines() int {
	return r.logs.FilterMessage("taint: part of prompts quarantined").Len()
}

// allReject reports whether all entries have a quarantine, and reject requests with the
// parts because of it.
func (s *taintedSite) allReject(entries []*runningEntry, parts string) bool {
	for _, r := range entries {
		if r.quarantines() == 0 || s.ask(r, "/verse/a", parts).body != "part_quarantined\n" {
			return false
		}
	}
	return true
}

// taintedTable is the table of the quarantined parts.
const taintedTable = "lacewinghook-tainted"

// TestQuarantineOutlastsEntries guards against a restart after which a part that is known
// to crash engines is tried again: of one entry while the store is away, and of all of
// them.
func TestQuarantineOutlastsEntries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTaintedSite(t, "bad")
	entries := s.startAll(2)
	s.quarantine(entries, "bad:1000")
	s.until("the quarantine is saved", func() bool { return len(s.store.Keys(taintedTable)) == 1 })
	before := s.reached()
	s.restarted = true

	s.store.SetMode(extsim.Unavailable)
	entries[1].stop()
	is.NoErr(<-entries[1].done)
	entries[1].done <- nil
	third := s.startReady(entries[0])
	s.until("the peer has told of the quarantine", func() bool { return third.quarantines() == 1 })
	is.Equal(s.ask(third, "/verse/a", "77:50,bad:1000").body, "part_quarantined\n")
	resp, err := third.client.Get("http://" + third.settings.Fleet.Metrics + "/quarantine")
	is.NoErr(err)
	defer resp.Body.Close()
	var views []taint.View
	is.NoErr(json.NewDecoder(resp.Body).Decode(&views))
	is.Equal(views[0].Part, "bad")
	is.True(views[0].Quarantined && len(views[0].Crashes) >= 3 && views[0].Left > 50*clock.Minute)

	s.store.SetMode(extsim.Up)
	for _, r := range []*runningEntry{entries[0], third} {
		r.stop()
		is.NoErr(<-r.done)
		r.done <- nil
	}
	fourth := s.startReady()
	s.until("the store has told of the quarantine", func() bool { return fourth.quarantines() == 1 })
	got := s.ask(fourth, "/verse/a", "78:50,bad:1000")
	is.Equal(got.body, "part_quarantined\n")
	is.True(got.header.Get("Retry-After") > "30") // seconds: it doesn't invite the caller back at once
	is.Equal(s.reached(), before)
}

// TestTwoDeadlyParts checks that a second deadly part is found beside the first, on
// another route, while the store is away.
func TestTwoDeadlyParts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTaintedSite(t, "bad", "baddad")
	entries := s.startAll(2)
	s.store.SetMode(extsim.Unavailable)
	s.quarantine(entries, "5c1e:200,bad:1000")
	s.quarantine(entries, "5c1e:200,baddad:1000")
	is.True(s.crashes() <= 8)
	s.store.SetMode(extsim.Up)
	s.until("both quarantines are saved", func() bool { return len(s.store.Keys(taintedTable)) >= 2 })
	s.removeCrashed(entries)
	for _, r := range entries {
		got := s.ask(r, "/long/a", "5c1e:200,1:1000")
		is.Equal(got.status, http.StatusOK)
	}
}

// TestPartThatCrashesEngines guards against requests that have one part of their prompts
// in common, and no more, that crash one engine after the other. Requests that share
// their other parts must be served.
func TestPartThatCrashesEngines(t *testing.T) {
	for _, path := range []string{"/verse/a", "/long/a"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newTaintedSite(t, "bad")
			entries := s.startAll(3)
			const tainted = "5c1e:200,bad:1000,51:100"
			for i := 0; i < 12 && s.crashes() < countedCrashes; i++ {
				s.ask(entries[i%len(entries)], path, tainted)
			}
			time.Sleep(stableWindow)
			before := s.reached()
			for i := range 12 {
				s.ask(entries[i%len(entries)], path, tainted)
			}
			is.True(s.reached()-before <= maxLateSends)
			s.removeCrashed(entries)
			for _, r := range entries {
				got := s.ask(r, path, "5c1e:200,50:1000,51:100")
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
			}
		})
	}
}

// reachedIDs returns the IDs of the requests with a deadly part that were sent to engines.
func (s *taintedSite) reachedIDs() map[string]bool {
	ids := make(map[string]bool)
	for _, list := range [][]*extsim.Replica{s.prefill, s.decode} {
		for _, r := range list {
			for _, h := range r.RequestHeaders() {
				if extsim.HasPart(h, s.deadly) {
					ids[h.Get("Lacewinghook-Request-Id")] = true
				}
			}
		}
	}
	return ids
}

// TestBurstsOfDeadlyRequests guards against bursts of requests with a deadly part that are
// sent in full, since all of a burst are sent before the first crash is known. Requests that
// share the caller's part are served meanwhile.
func TestBurstsOfDeadlyRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTaintedSite(t, "bad")
	entries := s.startAll(3)
	burst := func() {
		var callers sync.WaitGroup
		for i := range 2 * len(entries) {
			callers.Go(func() { s.ask(entries[i%len(entries)], "/verse/a", "5c1e:200,bad:1000") })
		}
		callers.Wait()
	}
	for _, r := range entries {
		is.Equal(s.ask(r, "/verse/a", "5c1e:200,50:1000").status, http.StatusOK)
	}
	for s.crashes() < countedCrashes {
		burst()
		time.Sleep(300 * time.Millisecond)
	}
	s.removeCrashed(entries)
	time.Sleep(stableWindow)
	before := len(s.reachedIDs())
	for range 4 {
		burst()
		time.Sleep(time.Second)
	}
	is.True(len(s.reachedIDs())-before <= maxLateSends)
	s.removeCrashed(entries)
	for _, r := range entries {
		is.Equal(s.ask(r, "/verse/a", "5c1e:200,50:1000").status, http.StatusOK)
	}
}
