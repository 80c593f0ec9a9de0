package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/edge"
	"lacewinghook.example/lacewinghook/extsim"
)

// explain returns the entry's explanation of a request.
func (r *runningEntry) explain(t *testing.T, query string) (x edge.Explanation) {
	t.Helper()
	resp, err := r.client.Get("http://" + r.settings.Fleet.Metrics + "/explain?" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&x); err != nil {
		t.Fatal(err)
	}
	return x
}

// TestExplain guards against explanations that differ from what requests meet, that send
// something to replicas, and that charge a workspace.
func TestExplain(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.putAccounts(2, `{"name":"ws-a","api_keys":["key-a"],"priority":0,"unit":"token_stream","uncached_tokens":500,"rate_per_s":1,"burst":2000},{"name":"ws-b","api_keys":["key-b"]}`)
	r := s.startReady()

	x := r.explain(t, "host=h.example&path=/safe/deep/1&workspace=ws-b&id=7")
	is.Equal(x.Refused, "")
	is.Equal([]string{x.Entry, x.ID, x.Route.Name}, []string{"edge-1", "7", "deep"})
	is.Equal(x.Manifest.Version, int64(2))
	is.True(x.Manifest.Age >= 0 && x.ReplicaList.Age >= 0)
	is.True(x.KeyNeeded)
	is.Equal(x.Priority, 2)
	is.Equal(*x.Workspace, edge.WorkspaceView{Name: "ws-b", Unit: "request", Cost: 1})
	is.Equal(len(x.Services), 2)
	is.Equal(x.Services[0].Share, 0.0)
	is.True(strings.HasPrefix(x.Services[0].NoChoice, "no_upstream"))
	is.Equal(x.Services[1].Share, 1.0)
	is.True(x.Services[1].Choice != "")
	is.True(!x.Services[1].SharedSlots)
	is.Equal(len(x.Services[1].Replicas), 2)

	is.True(strings.HasPrefix(r.explain(t, "host=none.example&path=/safe/1").Refused, "unknown_service"))
	is.True(strings.HasPrefix(r.explain(t, "host=h.example&path=/safe/1").Refused, "unauthorized"))
	is.True(strings.HasPrefix(r.explain(t, "host=h.example&path=/safe/1&workspace=ws-z").Refused, "unauthorized"))
	x = r.explain(t, "host=h.example&path=/open/1")
	is.Equal(x.Refused, "")
	is.True(!x.KeyNeeded)

	for range 20 {
		x = r.explain(t, "host=h.example&path=/verse/1&workspace=ws-a&tokens=3000,400")
	}
	is.Equal(*x.Workspace, edge.WorkspaceView{Name: "ws-a", Unit: "token_stream", Rate: 1, Burst: 2000, Cost: 3400})
	is.Equal(x.Priority, 0) // that of the workspace
	g := x.Services[0].Groups[0]
	is.True(g.Known)
	is.True(g.Choice != nil && g.Choice.FirstToken > 0)
	is.Equal(len(g.Engines), 4)
	for _, e := range g.Engines {
		is.True(e.Candidate)
		is.Equal(e.FreeTokens != nil, e.Role == "decode")
	}
	x = r.explain(t, "host=h.example&path=/verse/1&workspace=ws-a&tokens=60000,4000")
	is.True(strings.Contains(x.Services[0].Groups[0].NoChoice, "too late"))
	x = r.explain(t, "host=h.example&path=/verse/1&workspace=ws-a&tokens=3000,200000")
	is.True(strings.Contains(x.Services[0].Groups[0].NoChoice, "free pieces"))

	for _, d := range slices.Concat(s.services, s.prefill, s.decode) {
		is.Equal(len(d.RequestHeaders()), 0)
	}
	is.True(!strings.Contains(r.metricsPage(), "lacewinghook_quota_taken_total{"))
	// The whole burst is left.
	for i := range 5 {
		a := r.do(context.Background(), callerRequest{id: fmt.Sprintf("%016x", i), path: "/safe/1", header: map[string]string{"Api-Key": "key-a"}})
		is.Equal(a.status == http.StatusOK, i < 4)
	}
	is.True(strings.Contains(r.metricsPage(), "lacewinghook_quota_taken_total{"))
	// A workspace over its limit still gets an answer here.
	is.Equal(r.explain(t, "host=h.example&path=/safe/1&workspace=ws-a").Workspace.Cost, 500.0)
}

// TestExplainNotices guards against explanations that choose a replica which gets nothing.
func TestExplainNotices(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	r := s.startReady()
	s.services[0].Leave(true)
	var left *extsim.Replica
	n := 0
	s.until("the entry knows that a replica leaves", func() bool {
		n++
		r.do(context.Background(), callerRequest{id: fmt.Sprintf("%016x", n), path: "/safe/1"})
		for _, v := range r.explain(t, "host=h.example&path=/safe/1").Services[0].Replicas {
			if v.Leaving {
				left = s.services[slices.IndexFunc(s.services, func(d *extsim.Replica) bool { return d.ID == v.Name })]
			}
		}
		return left != nil
	})
	is.Equal(left.ID, "d-0")
	is.Equal(r.explain(t, "host=h.example&path=/safe/1").Services[0].Choice, "d-1")
	for _, query := range []string{"host=h.example", "path=/safe/1", "host=h.example&path=/safe/1&tokens=3", "host=h.example&path=/safe/1&tokens=-3,4"} {
		resp, err := r.client.Get("http://" + r.settings.Fleet.Metrics + "/explain?" + query)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusBadRequest)
	}
}

// TestExplainAmongManyEntries guards against explanations that name another owner than the
// others do, or present an entry's own work as that of all.
func TestExplainAmongManyEntries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	all := []*runningEntry{s.startReady()}
	for range 12 {
		all = append(all, s.startReady(all[0]))
	}
	s.until("all entries name the same owners", func() bool {
		var calls, verses []string
		for _, r := range all {
			call := r.explain(t, "host=h.example&path=/safe/1").Services[0]
			verse := r.explain(t, "host=h.example&path=/verse/1&tokens=3000,100").Services[0].Groups[0]
			if !call.SharedSlots || call.Groups[0].Owner == "" || verse.Owner == "" {
				return false
			}
			calls, verses = append(calls, call.Groups[0].Owner), append(verses, verse.Owner)
			is.Equal(verse.Known, verse.Owner == r.settings.Instance)
			is.Equal(verse.Choice != nil, verse.Known)
		}
		return len(slices.Compact(calls)) == 1 && len(slices.Compact(verses)) == 1
	})
	n := 0
	s.until("the owner alone knows the calls of all entries", func() bool {
		known := 0
		for _, r := range all {
			n++
			r.do(context.Background(), callerRequest{id: fmt.Sprintf("%016x", n), path: "/safe/1"})
			call := r.explain(t, "host=h.example&path=/safe/1").Services[0]
			if call.Groups[0].Known {
				is.Equal(call.Groups[0].Owner, r.settings.Instance)
				is.True(slices.ContainsFunc(call.Replicas, func(v edge.ReplicaView) bool { return v.MeasuredAge != nil && v.Group != nil }))
				known++
			}
		}
		return known == 1
	})
	// The clean-up stops the entries one after the other.
	for _, r := range all {
		r.stop()
	}
}
