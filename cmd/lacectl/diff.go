package main

import (
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/core"
)

// change is one difference between two documents.
type change struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Old and New are the parts in JSON; empty for one that is not there.
	Old string `json:"old"`
	New string `json:"new"`
}

// diff returns what differs, part by part. Keys of workspaces are digests and
// are shown as such.
func diff(old, fresh *core.Document) ([]change, error) {
	before, err := parts(old)
	if err != nil {
		return nil, err
	}
	after, err := parts(fresh)
	if err != nil {
		return nil, err
	}
	changes := []change{}
	for _, p := range before {
		if now := findPart(after, p); now != p.New {
			changes = append(changes, change{p.Kind, p.Name, p.New, now})
		}
	}
	for _, p := range after {
		if findPart(before, p) == "" {
			changes = append(changes, change{p.Kind, p.Name, "", p.New})
		}
	}
	return changes, nil
}

func findPart(all []change, p change) string {
	for _, q := range all {
		if q.Kind == p.Kind && q.Name == p.Name {
			return q.New
		}
	}
	return ""
}

// parts lists the parts of a document, each with its JSON in New.
func parts(doc *core.Document) (all []change, err error) {
	add := func(kind, name string, v any) {
		data, fault := json.Marshal(v)
		err = errors.Join(err, fault)
		all = append(all, change{Kind: kind, Name: name, New: string(data)})
	}
	for _, p := range doc.Profiles {
		add("profile", p.Name, p)
	}
	for _, w := range doc.Workspaces {
		add("workspace", w.Name, w)
	}
	for _, u := range doc.Upstreams {
		add("upstream", u.Name, u)
	}
	for _, r := range doc.Routes {
		add("route", fmt.Sprintf("%s %s %v", r.Service, r.Prefix, r.Methods), r)
	}
	for _, s := range doc.Desired {
		add("desired", s.Upstream, s)
	}
	return all, err
}
