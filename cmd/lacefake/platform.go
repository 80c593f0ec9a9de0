package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/plat"
	"lacewinghook.example/lacewinghook/pubdoc"
)

// platformConfig is the settings file of a stand-in platform.
type platformConfig struct {
	Listen    string          `json:"listen"`
	Instances []core.Instance `json:"instances"`
	// Document, if there is one, stands in the table from the start.
	Document *core.Document `json:"document,omitempty"`
	// Limits are the rates that the platform keeps to; none if left out.
	Limits plat.Limits `json:"limits"`
}

func platform(ctx context.Context, args []string) int {
	fs := flag.NewFlagSet("lacefake platform", flag.ContinueOnError)
	file := fs.String("config", "", "settings file, JSON")
	if status, ok := parse(fs, args); !ok {
		return status
	}
	cfg, err := readPlatform(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lacefake platform:", err)
		return exitFail
	}
	p := &plat.Platform{Instances: cfg.Instances, Limits: cfg.Limits}
	if err := seed(p, cfg.Document); err != nil {
		fmt.Fprintln(os.Stderr, "lacefake platform:", err)
		return exitFail
	}
	go p.Watch(ctx)
	return listen(ctx, cfg.Listen, p.Handler())
}

func readPlatform(name string) (*platformConfig, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	cfg := &platformConfig{}
	return cfg, json.Unmarshal(data, cfg)
}

func seed(p *plat.Platform, doc *core.Document) error {
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
