package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lacewinghook.example/lacewinghook/client"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/edge"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/notice"
	"lacewinghook.example/lacewinghook/pubdoc"
	"lacewinghook.example/lacewinghook/reply"
	"lacewinghook.example/lacewinghook/taint"
	"lacewinghook.example/lacewinghook/trial"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lacectl": func() { os.Exit(run()) },
	})
}

// awaitPeers waits until the first entry lists the addresses of all entries.
func awaitPeers(set *trial.Cluster) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return trial.WaitUntil(ctx, func() bool {
		addrs, err := set.Client(0).Addresses(ctx)
		return err == nil && len(addrs) == len(set.Entries)
	})
}

// trialSetKey is the key of the trial set in the values of a script.
type trialSetKey struct{}

// revertDocument reverts the platform's table to the document that the set
// started with, like a table restored from an old backup.
func revertDocument(ts *testscript.TestScript, _ bool, _ []string) {
	set := ts.Value(trialSetKey{}).(*trial.Cluster)
	writes, err := pubdoc.Seed(&set.Doc)
	ts.Check(err)
	for i := range writes {
		for _, row := range set.Platform.Table.Read([]string{writes[i].Key}) {
			writes[i].Expect = row.Revision
		}
	}
	done, err := set.Platform.Table.Commit(writes)
	ts.Check(err)
	if !done.OK() {
		ts.Fatalf("the table was changed concurrently")
	}
}

// awaitViolation waits until the first entry has detected a violation.
func awaitViolation(ts *testscript.TestScript, _ bool, _ []string) {
	set := ts.Value(trialSetKey{}).(*trial.Cluster)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c := client.Client{Base: "http://" + set.Entries[0].AdminAddr, Token: trial.OperatorToken}
	ts.Check(trial.WaitUntil(ctx, func() bool {
		s, err := c.Status(ctx)
		return err == nil && s.Violations > 0
	}))
}

// quarantineRequest repeats a request that crashes every engine until it is
// quarantined.
func quarantineRequest(ts *testscript.TestScript, _ bool, _ []string) {
	set := ts.Value(trialSetKey{}).(*trial.Cluster)
	for _, e := range append(set.Prefills, set.Decodes...) {
		e.Faults.Set(fake.Faults{CrashText: "crash", Downtime: 1})
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	ts.Check(trial.WaitUntil(ctx, func() bool {
		_, err := set.Client(0).Complete(ctx, trial.Request{Model: trial.Model, Prompt: "crash", MaxTokens: 2}, nil)
		return codes.Has(err, codes.Quarantined)
	}))
}

// loseAnswer sends an order that runs, but whose answer is lost.
func loseAnswer(ts *testscript.TestScript, _ bool, _ []string) {
	set := ts.Value(trialSetKey{}).(*trial.Cluster)
	set.Services[0].Faults.Set(fake.Faults{LoseAnswers: 1})
	_, err := set.Client(0).CallService(context.Background(), http.MethodPost, "/orders", "lost-1", []byte("{}"))
	if codes.From(err).Run != codes.Unknown {
		ts.Fatalf("want an unknown outcome, have %v", err)
	}
}

// servePages serves what an entry on the users' platform shows operators, and sets PAGES to
// its URL.
func servePages(ts *testscript.TestScript, _ bool, _ []string) {
	mux := http.NewServeMux()
	for path, page := range map[string]any{
		"/quarantine": []taint.View{
			{Part: "bad", Quarantined: true, Left: 58 * clock.Minute, Crashes: []taint.CrashView{
				{Upstream: "g-1", Entry: "edge-1", Request: "7", Round: 3, With: []string{"40", "57"}, Age: clock.Second},
			}},
			{Part: "40", Left: clock.Minute, Cleared: 1},
		},
		"/replicas": []notice.View{
			{Replica: "g-1", Barred: true, Leaving: true, Source: "edge-2", Age: 2 * clock.Second},
			{Replica: "g-2", Barred: true, PauseLeft: 300},
			{Replica: "g-3", Leaving: true, Source: "edge-1", Age: clock.Second},
		},
	} {
		data, err := json.Marshal(page)
		ts.Check(err)
		mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(data) })
	}
	mux.HandleFunc("/explain", explainPage)
	server := httptest.NewServer(mux)
	ts.Defer(server.Close)
	ts.Setenv("PAGES", server.URL)
	ts.Setenv("PAGES_ADDR", server.Listener.Addr().String())
}

// explainPage answers as an entry would that knows a workspace and a plain service.
func explainPage(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if !strings.HasPrefix(q.Get("path"), "/") {
		reply.Error(w, codes.New(codes.BadRequest, "want a host, and a path that begins with a slash"))
		return
	}
	var in, out float64
	_, _ = fmt.Sscanf(q.Get("tokens"), "%g,%g", &in, &out)
	_ = json.NewEncoder(w).Encode(edge.Explanation{
		Entry: "edge-1", ID: q.Get("id"), Host: q.Get("host"), Path: q.Get("path"),
		Workspace: &edge.WorkspaceView{Name: q.Get("workspace"), Cost: in + out},
		Services:  []edge.ServiceView{{Name: "desk", Share: 1, Choice: "d-1"}},
	})
}

// TestScripts runs each script against its own trial set.
func TestScripts(t *testing.T) {
	cmds := map[string]func(*testscript.TestScript, bool, []string){
		"revert":      revertDocument,
		"lose-answer": loseAnswer,

		"await-violation": awaitViolation,
		"serve-pages":     servePages,
		"quarantine":      quarantineRequest,
	}
	testscript.Run(t, testscript.Params{Dir: "testdata", Cmds: cmds, Setup: func(env *testscript.Env) error {
		set, err := trial.Start(trial.Plan{Entries: 2, Prefills: 2, Decodes: 2, Services: 1, Linger: 1})
		if err != nil {
			return err
		}
		env.Defer(set.Stop)
		env.Values[trialSetKey{}] = set
		if err := awaitPeers(set); err != nil {
			return err
		}
		doc, err := json.Marshal(set.Doc)
		if err != nil {
			return err
		}
		env.Setenv("URL", "http://"+set.Entries[0].AdminAddr)
		if err := os.WriteFile(filepath.Join(env.WorkDir, "doc.json"), doc, 0o600); err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(env.WorkDir, "token"), []byte(trial.OperatorToken+"\n"), 0o600)
	}})
}
