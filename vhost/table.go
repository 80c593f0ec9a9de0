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
	// ranked holds the services whose requests differ in priority.
	ranked map[string]bool
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
	idx := &routeIndex{manifest: m, hosts: make(map[string][]core.HostRoute), accounts: accounts, ranked: rankedServices(m)}
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

// Accounts returns the workspaces of the current manifest, or nil if there was none yet.
func (t *Table) Accounts() *access.Table {
	if idx := t.index.Load(); idx != nil {
		return idx.accounts
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
	// Ranked holds the services whose requests differ in priority, whatever the route.
	Ranked map[string]bool
}

// rankedServices returns the services whose requests may have different priorities: those
// of their routes, or of the workspaces that may use them.
func rankedServices(m *core.Manifest) map[string]bool {
	ranked, first := make(map[string]bool), make(map[string]int)
	for _, r := range m.Routes {
		for _, priority := range priorities(&r, m.Accounts) {
			for _, s := range r.Shares {
				if known, ok := first[s.Service]; !ok {
					first[s.Service] = priority
				} else if known != priority {
					ranked[s.Service] = true
				}
			}
		}
	}
	return ranked
}

// priorities returns those that requests on a route may have.
func priorities(r *core.HostRoute, accounts []core.Account) []int {
	var all []int
	if r.Public || len(accounts) == 0 {
		all = append(all, r.Profile.Priority)
	}
	for _, a := range accounts {
		if a.Priority != nil {
			all = append(all, *a.Priority)
		} else {
			all = append(all, r.Profile.Priority)
		}
	}
	return all
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
			return Match{Route: r, Version: idx.manifest.Version, Accounts: idx.accounts, Ranked: idx.ranked}, nil
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
