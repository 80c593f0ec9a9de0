package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

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

// TestScripts runs each script against a trial set of its own.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: func(env *testscript.Env) error {
		set, err := trial.Start(trial.Plan{Entries: 2, Prefills: 1, Decodes: 1, Services: 1, Linger: 1})
		if err != nil {
			return err
		}
		env.Defer(set.Stop)
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
