package pubdoc

import (
	"lacewinghook.example/lacewinghook/access"
	"lacewinghook.example/lacewinghook/core"
)

// View is one version of the document with its indexes. It is immutable.
type View struct {
	Doc *core.Document

	// workspaces maps the digests of keys to workspaces, profiles maps names to
	// profiles, and models holds the models that some upstream serves.
	workspaces map[string]core.Workspace
	profiles   map[string]core.Profile
	models     map[string]bool
}

// NewView builds the indexes of doc, which must not be changed afterwards.
func NewView(doc *core.Document) *View {
	v := &View{
		Doc:        doc,
		workspaces: make(map[string]core.Workspace),
		profiles:   make(map[string]core.Profile),
		models:     make(map[string]bool),
	}
	for _, w := range doc.Workspaces {
		for _, digest := range w.Keys {
			v.workspaces[digest] = w
		}
	}
	for _, p := range doc.Profiles {
		v.profiles[p.Name] = p
	}
	for _, u := range doc.Upstreams {
		for _, m := range u.Models {
			v.models[m] = true
		}
	}
	return v
}

// Workspace returns the workspace that the key belongs to. The lookup uses the
// key's digest, so that its timing reveals nothing about the key.
func (v *View) Workspace(key string) (core.Workspace, bool) {
	w, ok := v.workspaces[access.Digest(key)]
	return w, ok
}

// Profile returns the profile with that name.
func (v *View) Profile(name string) (core.Profile, bool) {
	p, ok := v.profiles[name]
	return p, ok
}

// HasModel reports whether any upstream serves the model.
func (v *View) HasModel(model string) bool {
	return v.models[model]
}
