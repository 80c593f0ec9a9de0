package main

import (
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/core"
)

// partChange is the difference in one part of two documents.
type partChange struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Old and New are the part in JSON, empty if the document doesn't have it.
	Old string `json:"old"`
	New string `json:"new"`
}

// diffDocuments returns the parts that differ. Workspace keys appear as their digests,
// which is how the document stores them.
func diffDocuments(old, updated *core.Document) ([]partChange, error) {
	before, err := documentParts(old)
	if err != nil {
		return nil, err
	}
	after, err := documentParts(updated)
	if err != nil {
		return nil, err
	}
	changes := []partChange{}
	for _, p := range before {
		if newJSON := findPart(after, p); newJSON != p.New {
			changes = append(changes, partChange{p.Kind, p.Name, p.New, newJSON})
		}
	}
	for _, p := range after {
		if findPart(before, p) == "" {
			changes = append(changes, partChange{p.Kind, p.Name, "", p.New})
		}
	}
	return changes, nil
}

// findPart returns the JSON of the part in all with the kind and name of p, or
// "" if there is none.
func findPart(all []partChange, p partChange) string {
	for _, q := range all {
		if q.Kind == p.Kind && q.Name == p.Name {
			return q.New
		}
	}
	return ""
}

// documentParts splits a document into its parts, each with its JSON in New.
func documentParts(doc *core.Document) (all []partChange, err error) {
	add := func(kind, name string, v any) {
		data, marshalErr := json.Marshal(v)
		err = errors.Join(err, marshalErr)
		all = append(all, partChange{Kind: kind, Name: name, New: string(data)})
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
