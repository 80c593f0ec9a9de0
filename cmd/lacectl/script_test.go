package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lacewinghook.example/lacewinghook/client"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/pubdoc"
	"lacewinghook.example/lacewinghook/trial"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lacectl": func() { os.Exit(run()) },
	})
}

// acquainted waits until the first entry knows the others.
func acquainted(set *trial.Set) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return trial.Until(ctx, func() bool {
		addrs, err := set.Client(0).Addresses(ctx)
		return err == nil && len(addrs) == len(set.Entries)
	})
}

// setKey is the key of a script's set among its values.
type setKey struct{}

// revert makes the platform's table go back to the document that the set was
// started with, as a table restored from an old copy would.
func revert(ts *testscript.TestScript, _ bool, _ []string) {
	set := ts.Value(setKey{}).(*trial.Set)
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
		ts.Fatalf("the table was changed beside")
	}
}

// awaitViolation waits until the first entry has seen a broken promise.
func awaitViolation(ts *testscript.TestScript, _ bool, _ []string) {
	set := ts.Value(setKey{}).(*trial.Set)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c := client.Client{Base: "http://" + set.Entries[0].Admin, Token: trial.Token}
	ts.Check(trial.Until(ctx, func() bool {
		s, err := c.Status(ctx)
		return err == nil && s.Violations > 0
	}))
}

// condemn sends a request that crashes every engine until it is refused.
func condemn(ts *testscript.TestScript, _ bool, _ []string) {
	set := ts.Value(setKey{}).(*trial.Set)
	for _, e := range append(set.Prefills, set.Decodes...) {
		e.Trouble.Set(fake.Ills{Poison: "crash", Down: 1})
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	ts.Check(trial.Until(ctx, func() bool {
		_, err := set.Client(0).Complete(ctx, trial.Ask{Model: trial.Model, Prompt: "crash", MaxTokens: 2}, nil)
		return codes.Has(err, codes.Quarantined)
	}))
}

// loseAnswer makes an order that runs and whose answer is lost.
func loseAnswer(ts *testscript.TestScript, _ bool, _ []string) {
	set := ts.Value(setKey{}).(*trial.Set)
	set.Services[0].Trouble.Set(fake.Ills{LoseAnswers: 1})
	_, err := set.Client(0).Service(context.Background(), http.MethodPost, "/orders", "lost-1", []byte("{}"))
	if codes.From(err).Run != codes.Unknown {
		ts.Fatalf("want an unknown outcome, have %v", err)
	}
}

// TestScripts runs each script against a trial set of its own.
func TestScripts(t *testing.T) {
	cmds := map[string]func(*testscript.TestScript, bool, []string){
		"revert":      revert,
		"lose-answer": loseAnswer,

		"await-violation": awaitViolation,
		"condemn":         condemn,
	}
	testscript.Run(t, testscript.Params{Dir: "testdata", Cmds: cmds, Setup: func(env *testscript.Env) error {
		set, err := trial.Start(trial.Plan{Entries: 2, Prefills: 2, Decodes: 2, Services: 1, Linger: 1})
		if err != nil {
			return err
		}
		env.Defer(set.Stop)
		env.Values[setKey{}] = set
		if err := acquainted(set); err != nil {
			return err
		}
		doc, err := json.Marshal(set.Doc)
		if err != nil {
			return err
		}
		env.Setenv("URL", "http://"+set.Entries[0].Admin)
		if err := os.WriteFile(filepath.Join(env.WorkDir, "doc.json"), doc, 0o600); err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(env.WorkDir, "token"), []byte(trial.Token+"\n"), 0o600)
	}})
}
