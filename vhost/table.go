package vhost

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// Table holds the routes in force. The zero value knows none.
type Table struct {
	applying sync.Mutex
	index    atomic.Pointer[index]
}

// index is an immutable view of one manifest.
type index struct {
	manifest *core.Manifest
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]core.HostRoute
}

// Apply puts a manifest in force if its version is above the present one, and
// reports whether it did. The manifest must not be changed afterwards.
func (t *Table) Apply(m *core.Manifest) bool {
	t.applying.Lock()
	defer t.applying.Unlock()
	if old := t.index.Load(); old != nil && m.Version <= old.manifest.Version {
		return false
	}
	x := &index{manifest: m, hosts: make(map[string][]core.HostRoute)}
	for _, r := range m.Routes {
		host := normal(r.Host)
		x.hosts[host] = append(x.hosts[host], r)
	}
	for _, routes := range x.hosts {
		slices.SortStableFunc(routes, func(a, b core.HostRoute) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	t.index.Store(x)
	return true
}

// Manifest returns the manifest in force, or nil.
func (t *Table) Manifest() *core.Manifest {
	if x := t.index.Load(); x != nil {
		return x.manifest
	}
	return nil
}

// Version returns the version in force, or zero.
func (t *Table) Version() int64 {
	if m := t.Manifest(); m != nil {
		return m.Version
	}
	return 0
}

// Match returns the route of a host and path, and the version that it is
// from. The host may carry a port.
func (t *Table) Match(host, path string) (core.HostRoute, int64, error) {
	x := t.index.Load()
	if x == nil {
		return core.HostRoute{}, 0, codes.New(codes.NoDocument, "no manifest has been read yet")
	}
	for _, r := range x.hosts[normal(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, x.manifest.Version, nil
		}
	}
	return core.HostRoute{}, x.manifest.Version, codes.New(codes.UnknownService, "host %q, path %q, manifest %d", host, path, x.manifest.Version)
}

// normal returns a host in the form in which hosts are compared.
func normal(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
