package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pltsim"
	"lacewinghook.example/lacewinghook/pubdoc"
)

// platformConfig is the settings file of a fake platform.
type platformConfig struct {
	Listen    string          `json:"listen"`
	Instances []core.Instance `json:"instances"`
	// Document, if not nil, is the initial document in the table.
	Document *core.Document `json:"document,omitempty"`
	// Limits are the rate limits of the platform; the zero value has none.
	Limits pltsim.Limits `json:"limits"`
}

// runPlatform runs a fake platform.
func runPlatform(ctx context.Context, args []string) int {
	fs := flag.NewFlagSet("lacefake platform", flag.ContinueOnError)
	file := fs.String("config", "", "settings file, JSON")
	if status, ok := parseFlags(fs, args); !ok {
		return status
	}
	cfg, err := readPlatform(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lacefake platform:", err)
		return exitFail
	}
	p := &pltsim.Platform{Instances: cfg.Instances, Limits: cfg.Limits}
	if err := seedTable(p, cfg.Document); err != nil {
		fmt.Fprintln(os.Stderr, "lacefake platform:", err)
		return exitFail
	}
	go p.ProbeInstances(ctx)
	return serveHTTP(ctx, cfg.Listen, p.Handler())
}

// readPlatform reads the settings file of a fake platform.
func readPlatform(name string) (*platformConfig, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	cfg := &platformConfig{}
	return cfg, json.Unmarshal(data, cfg)
}

// seedTable writes the initial document, if any, to the platform's table.
func seedTable(p *pltsim.Platform, doc *core.Document) error {
	if doc == nil {
		return nil
	}
	all, err := pubdoc.Seed(doc)
	if err != nil {
		return err
	}
	_, err = p.Table.Commit(all)
	return err
}
