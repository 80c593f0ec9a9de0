package vhost

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"lacewinghook.example/lacewinghook/access"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// Table holds the current routes. The zero value has none. It is safe for
// concurrent use.
type Table struct {
	// applyMu serializes Apply; readers only load index.
	applyMu sync.Mutex
	index   atomic.Pointer[routeIndex]
}

// routeIndex is an immutable index of the routes of one manifest.
type routeIndex struct {
	manifest *core.Manifest
	// hosts maps each normalized host to its routes, longest prefix first.
	hosts map[string][]core.HostRoute
	// accounts finds the workspaces of callers.
	accounts *access.Table
}

// Apply replaces the routes if the version of m is higher than the current one,
// and reports whether it did. Accounts whose keys are ambiguous are not applied. The
// caller must not modify m afterwards.
func (t *Table) Apply(m *core.Manifest) bool {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	if old := t.index.Load(); old != nil && m.Version <= old.manifest.Version {
		return false
	}
	accounts, err := access.NewTable(m.Accounts)
	if err != nil {
		return false
	}
	idx := &routeIndex{manifest: m, hosts: make(map[string][]core.HostRoute), accounts: accounts}
	for _, r := range m.Routes {
		host := normalizeHost(r.Host)
		idx.hosts[host] = append(idx.hosts[host], r)
	}
	for _, routes := range idx.hosts {
		slices.SortStableFunc(routes, func(a, b core.HostRoute) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	t.index.Store(idx)
	return true
}

// Manifest returns the current manifest, or nil if there was none yet.
func (t *Table) Manifest() *core.Manifest {
	if idx := t.index.Load(); idx != nil {
		return idx.manifest
	}
	return nil
}

// Version returns the version of the current manifest, or zero.
func (t *Table) Version() int64 {
	if m := t.Manifest(); m != nil {
		return m.Version
	}
	return 0
}

// Match is the result of [Table.Match].
type Match struct {
	Route core.HostRoute
	// Version is the version of the manifest, and Accounts are its workspaces.
	Version  int64
	Accounts *access.Table
}

// Match returns the route with the longest prefix that matches the host and
// path. The host may include a port.
func (t *Table) Match(host, path string) (Match, error) {
	idx := t.index.Load()
	if idx == nil {
		return Match{}, codes.New(codes.NoDocument, "no manifest has been read yet")
	}
	for _, r := range idx.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return Match{Route: r, Version: idx.manifest.Version, Accounts: idx.accounts}, nil
		}
	}
	return Match{Version: idx.manifest.Version}, codes.New(codes.UnknownService, "host %q, path %q, manifest %d", host, path, idx.manifest.Version)
}

// normalizeHost returns the host in lower case, without a port and a trailing
// dot.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
