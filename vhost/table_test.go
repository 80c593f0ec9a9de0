package vhost_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/vhost"
)

// manifest returns a manifest with the given version and routes.
func manifest(version int64, routes ...core.HostRoute) *core.Manifest {
	return &core.Manifest{Version: version, Routes: routes}
}

// TestMatch checks the longest-prefix match and the normalization of hosts.
func TestMatch(t *testing.T) {
	var table vhost.Table
	is := is.New(t)
	_, err := table.Match("a.example", "/x/")
	is.True(codes.Has(err, codes.NoDocument))
	table.Apply(manifest(3,
		core.HostRoute{Name: "short", Host: "a.example", Prefix: "/x/"},
		core.HostRoute{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		core.HostRoute{Name: "other", Host: "b.example", Prefix: "/x/"},
	))
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"A.Example:8080", "/x/", "short"},
		{"a.example.", "/x/", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"c.example", "/x/", ""},
		{"", "", ""},
	} {
		m, err := table.Match(c.host, c.path)
		is.Equal(m.Version, int64(3))
		is.Equal(m.Route.Name, c.want)
		is.Equal(err != nil, c.want == "")
		is.True(err == nil || codes.Has(err, codes.UnknownService))
	}
}

// TestOlderVersionsAreIgnored checks that Apply never reverts to a manifest of
// the same or a lower version.
func TestOlderVersionsAreIgnored(t *testing.T) {
	is := is.New(t)
	var table vhost.Table
	is.True(table.Apply(manifest(5)))
	is.True(!table.Apply(manifest(5)))
	is.True(!table.Apply(manifest(4, core.HostRoute{Host: "a", Prefix: "/"})))
	is.Equal(table.Version(), int64(5))
	is.True(table.Apply(manifest(9)))
	is.Equal(table.Version(), int64(9))
}

// TestRanked guards against a service whose upstreams aren't told the priorities although
// they differ, or are told them although they are the same.
func TestRanked(t *testing.T) {
	route := func(service string, priority int) core.HostRoute {
		return core.HostRoute{Host: "a.example", Prefix: "/" + service, Profile: core.Profile{Priority: priority}, Shares: []core.Share{{Service: service}}}
	}
	one := 1
	account := func(name string, priority *int) core.Account {
		return core.Account{Name: name, Keys: []string{name}, Priority: priority}
	}
	public := route("verse", 2)
	public.Public = true
	for name, c := range map[string]struct {
		routes   []core.HostRoute
		accounts []core.Account
		want     bool
	}{
		"one priority":                    {[]core.HostRoute{route("verse", 1), route("verse", 1), route("desk", 2)}, nil, false},
		"routes":                          {[]core.HostRoute{route("verse", 1), route("verse", 2)}, nil, true},
		"workspaces":                      {[]core.HostRoute{route("verse", 2)}, []core.Account{account("a", &one), account("b", nil)}, true},
		"workspaces with one":             {[]core.HostRoute{route("verse", 2), route("verse", 3)}, []core.Account{account("a", &one), account("b", &one)}, false},
		"a public route":                  {[]core.HostRoute{route("verse", 2), public}, []core.Account{account("a", &one)}, true},
		"a workspace like all the routes": {[]core.HostRoute{route("verse", 1)}, []core.Account{account("a", &one), account("b", nil)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var table vhost.Table
			is.True(table.Apply(&core.Manifest{Version: 1, Routes: c.routes, Accounts: c.accounts}))
			m, err := table.Match("a.example", "/verse")
			is.NoErr(err)
			is.Equal(m.Ranked["verse"], c.want)
			is.True(!m.Ranked["desk"])
		})
	}
}
